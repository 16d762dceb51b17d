package org.cowslippick.fleet.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class StrictResponseDecoderTest {

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Trailer: t\r\n\r\n";
    private static final String JOINED = "HTTP/1.1 200 HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\n";

    private final EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder(4096, 8192, 8192));

    @Test
    void soundResponsesOnOneConnectionAreValid() {
        assertEquals(ImmutableList.of(true, true, true), decode(WHOLE + CHUNKED + WHOLE));
    }

    @Test
    void bytesThatArriveOneByOneMakeTheSameResponses() {
        ImmutableList<Boolean> decoded = (WHOLE + CHUNKED + JOINED)
                .chars()
                .mapToObj(Character::toString)
                .flatMap(one -> decode(one).stream())
                .collect(ImmutableList.toImmutableList());
        assertEquals(ImmutableList.of(true, true, false), decoded);
    }

    @Test
    void headOfTwoResponsesIsInvalid() {
        assertEquals(ImmutableList.of(true, false), decode(WHOLE + JOINED));
    }

    @Test
    void emptyLinesInFrontOfAResponseAreSkipped() {
        assertEquals(ImmutableList.of(), decode("\r\n".repeat(1_000)));
        assertEquals(ImmutableList.of(true), decode("\r\n" + WHOLE));
    }

    private ImmutableList<Boolean> decode(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        ImmutableList.Builder<Boolean> valid = ImmutableList.builder();
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpResponse response) {
                valid.add(response.decoderResult().isSuccess());
            }
            ReferenceCountUtil.release(message);
        }
        return valid.build();
    }
}
