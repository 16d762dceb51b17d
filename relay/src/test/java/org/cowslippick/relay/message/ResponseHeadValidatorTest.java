package org.cowslippick.relay.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseHeadValidatorTest {

    private final ResponseHeadValidator validator = new ResponseHeadValidator(ImmutableSet.of("X-Seal", "X-Attempt"));

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Attempt: a\r\n\r\n",
                "HTTP/1.0 404 \r\n\r\n",
                "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 gateway, 1.1 other\r\nUpgrade: HTTP/2.0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Seal: s\r\nWarning: one\r\nWarning: two\r\n\r\n"
            })
    void findsNoDefectInAHead(String head) {
        assertEquals(Optional.empty(), validator.findDefect(decode(head)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 HTTP/1.1 500 Internal Server Error\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OKHTTP/1.0 404 Not Found\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OK\r\nDate: MonHTTP/1.1 404 Not Found\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Attempt: a\r\nX-Seal: s\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-Attempt: a\r\nx-attempt: b\r\n\r\n"
            })
    void findsTheDefectOfAHeadOfTwoResponses(String head) {
        assertTrue(validator.findDefect(decode(head)).isPresent());
    }

    private static HttpResponse decode(String head) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());
        channel.writeInbound(Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1));
        HttpResponse response = channel.readInbound();
        assertTrue(response.decoderResult().isSuccess());
        return response;
    }
}
