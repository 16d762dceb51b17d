package org.cowslippick.relay.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.net.HostAndPort;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A connection to an endpoint that is kept after a response. */
class EndpointConnectionTest {

    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";

    private final List<EndpointConnection> kept = new ArrayList<>();
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final EndpointConnection connection = new EndpointConnection(
            HostAndPort.fromParts("127.0.0.1", 1), "X-Attempt", decoder, new HeadHolder(), kept::add);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);

    /** The response to the next request was never read, if the caller of this one had read slowly. */
    @Test
    void readsAgainAfterAResponseDuringWhichReadingWasPaused() {
        connection.send(
                new Dispatch(
                        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), Unpooled.EMPTY_BUFFER, "a1"),
                new PausingListener());
        channel.writeInbound(Unpooled.copiedBuffer(RESPONSE, StandardCharsets.US_ASCII));
        assertEquals(List.of(connection), kept);
        assertTrue(channel.config().isAutoRead());
    }

    /** Pauses reading when the body arrives, as a caller does that reads slowly. */
    private final class PausingListener implements ResponseListener {

        @Override
        public void requestSent() {}

        @Override
        public void connectFailed(String _reason) {}

        @Override
        public void headReceived(HttpResponse _head) {}

        @Override
        public void bodyReceived(ByteBuf _bytes) {
            connection.setReading(false);
        }

        @Override
        public void completed() {}

        @Override
        public void connectionLost(String _reason) {}

        @Override
        public void failed(String _reason) {}
    }
}
