package org.cowslippick.relay.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
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
import java.time.Duration;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.junit.jupiter.api.Test;

/** How many connections are kept, for how long, and which of them is used. */
class IdleConnectionsTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final Region REGION = new Region("asturias");
    private static final Region OTHER_REGION = new Region("cantabria");
    private static final int LONG_LIVED = 2;
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

    private final IdleConnections idle = new IdleConnections(_service -> LONG_LIVED);

    @Test
    void connectionsAreKeptAsLongAsTheEndpointSays() {
        add(endpoint(0), "Keep-Alive: timeout=5\r\n", 0);
        assertTrue(acquire(endpoint(0), 4_799 * MILLISECOND));
        add(endpoint(0), "Keep-Alive: timeout=5\r\n", 0);
        assertEquals(false, acquire(endpoint(0), 4_800 * MILLISECOND));
    }

    @Test
    void connectionsWithoutAnAnnouncedTimeAreKeptForTheDefaultTime() {
        add(endpoint(0), "", 0);
        idle.evictExpired(799 * MILLISECOND);
        assertEquals(1, idle.size());
        idle.evictExpired(800 * MILLISECOND);
        assertEquals(0, idle.size());
    }

    /** An engine accepts some hundred connections from all instances together. */
    @Test
    void connectionsBeyondTheShareOfAnEndpointAreKeptForTheDefaultTime() {
        for (int number = 0; number < 20; number++) {
            add(endpoint(0), "Keep-Alive: timeout=5\r\n", 0);
        }
        assertEquals(8, idle.size());
        idle.evictExpired(800 * MILLISECOND);
        assertEquals(LONG_LIVED, idle.size());
    }

    /** Idle connections to many engines would exhaust the file descriptors of a small instance. */
    @Test
    void theLeastRecentlyUsedConnectionIsClosedBeyondTheTotal() {
        for (int number = 0; number <= IdleConnections.MAXIMUM_TOTAL; number++) {
            add(endpoint(number), "Keep-Alive: timeout=5\r\n", 0);
        }
        assertEquals(IdleConnections.MAXIMUM_TOTAL, idle.size());
        assertEquals(false, acquire(endpoint(0), 0));
        assertTrue(acquire(endpoint(IdleConnections.MAXIMUM_TOTAL), 0));
    }

    @Test
    void theMostRecentlyUsedEndpointsAreNamed() {
        for (int number = 0; number < 9; number++) {
            add(endpoint(number), "Keep-Alive: timeout=5\r\n", number);
        }
        add(endpoint(0), "Keep-Alive: timeout=5\r\n", 9);
        assertEquals(
                ImmutableList.of("engine-0", "engine-8", "engine-7"),
                idle.endpoints(SERVICE, _idle -> true, 3, 10).asList());
        assertEquals(
                ImmutableList.of(),
                idle.endpoints(new ServiceName("other"), _idle -> true, 3, 10).asList());
    }

    /** A hold-back is shorter than a round trip to another region, and useless on a connection that may be long dropped. */
    @Test
    void endsAreHeldBackOnlyOnRecentAnnouncedConnectionsOfTheRegion() {
        HoldBackPolicy policy = new HoldBackPolicy(REGION);
        add(endpoint(0), "Keep-Alive: timeout=5\r\n", 0);
        assertEquals(1, allowed(policy, 1_999 * MILLISECOND));
        assertEquals(0, allowed(policy, 2_000 * MILLISECOND));
        policy.recordDead(endpoint(0), 0);
        assertEquals(0, allowed(policy, MILLISECOND));
        idle.discard(endpoint(0).address());
        add(endpoint(1), "", 0);
        add(endpoint(2, OTHER_REGION), "Keep-Alive: timeout=5\r\n", 0);
        assertEquals(0, allowed(policy, MILLISECOND));
    }

    private int allowed(HoldBackPolicy policy, long nowNanos) {
        return idle.endpoints(SERVICE, kept -> policy.allows(kept, nowNanos), 8, nowNanos)
                .size();
    }

    private boolean acquire(LiveEndpoint endpoint, long nowNanos) {
        return idle.acquire(endpoint.address(), "a2", _idle -> true, nowNanos).isPresent();
    }

    /** Adds a connection that has carried one request. */
    private void add(LiveEndpoint endpoint, String header, long nowNanos) {
        ResponseDecoder decoder = new ResponseDecoder();
        EndpointConnection connection = new EndpointConnection(
                endpoint.address(),
                "X-Attempt",
                decoder,
                new HeadHolder(),
                finished -> idle.add(endpoint, finished, nowNanos));
        EmbeddedChannel channel = new EmbeddedChannel(decoder, new HttpRequestEncoder(), connection);
        connection.send(
                new Dispatch(
                        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), Unpooled.EMPTY_BUFFER, "a1"),
                new IgnoringListener());
        channel.writeInbound(Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\n" + header + "Content-Length: 0\r\n\r\n",
                StandardCharsets.US_ASCII));
    }

    private static LiveEndpoint endpoint(int number) {
        return endpoint(number, REGION);
    }

    private static LiveEndpoint endpoint(int number, Region region) {
        return new LiveEndpoint(
                "engine-" + number,
                SERVICE,
                HostAndPort.fromParts("127.0.0.1", 1 + number),
                new FailureDomain("oviedo", region),
                4,
                false,
                1);
    }

    private static final class IgnoringListener implements ResponseListener {

        @Override
        public void requestSent() {}

        @Override
        public void connectFailed(String _reason) {}

        @Override
        public void headReceived(HttpResponse _head) {}

        @Override
        public void bodyReceived(ByteBuf _bytes) {}

        @Override
        public void completed() {}

        @Override
        public void connectionLost(String _reason) {}

        @Override
        public void failed(String _reason) {}
    }
}
