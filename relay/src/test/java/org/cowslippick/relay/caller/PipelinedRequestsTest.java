package org.cowslippick.relay.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.client.ClientMemory;
import org.cowslippick.relay.client.ConnectionLimit;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.message.RequestReader;
import org.cowslippick.relay.metrics.RelayMetrics;
import org.cowslippick.relay.time.EventLoopTimerService;
import org.cowslippick.relay.time.LoopMonitor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that arrive while an earlier one on the same connection is in progress, some of them refused at once. */
class PipelinedRequestsTest {

    private static final String REFUSED_AT_ONCE = "/refused";

    private final Queue<CallerExchange> unanswered = new ArrayDeque<>();
    private final List<String> handled = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final TimerService timer = new EventLoopTimerService(loops.next());
    private static final long MEMORY_BYTES = 80L << 20;
    private static final int CONNECTIONS = 1_000;
    private final CallerConnections connections = new CallerConnections(
            () -> CallerLimits.DEFAULT,
            timer,
            new LoopMonitor((SingleThreadEventLoop) loops.next(), timer),
            new RequestReader(CallerConnectionTest.NAMES),
            this::handle,
            new ClientMemory(MEMORY_BYTES, timer, new RelayMetrics()),
            new ConnectionLimit(CONNECTIONS, timer, new RelayMetrics()));
    private final CallerConnection connection = new CallerConnection(connections);
    private final EmbeddedChannel channel = new EmbeddedChannel(connection);

    @BeforeEach
    void answerTheFirstOfFourRequests() {
        send("/1");
        send(REFUSED_AT_ONCE);
        send(REFUSED_AT_ONCE);
        send("/4");
        answer(unanswered.remove());
        assertEquals(List.of("/1", REFUSED_AT_ONCE, REFUSED_AT_ONCE, "/4"), handled);
    }

    @AfterEach
    void stopLoop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void disconnectReachesTheRequestBehindARefusedOne() {
        channel.close().syncUninterruptibly();
        assertEquals(List.of("/4 disconnected"), events);
    }

    @Test
    void endOfTheProcessReachesTheRequestBehindARefusedOne() {
        connection.refuseIfWaiting();
        connection.terminate();
        assertEquals(List.of("/4 refuseIfWaiting", "/4 terminate"), events);
    }

    private void send(String target) {
        channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target));
    }

    private static void answer(CallerExchange exchange) {
        exchange.fail(Failure.of(ErrorKind.UNKNOWN_PATH, "no route"));
    }

    private CallerListener handle(CallerRequest request, CallerExchange exchange) {
        handled.add(request.target());
        if (request.target().equals(REFUSED_AT_ONCE)) {
            answer(exchange);
        } else {
            unanswered.add(exchange);
        }
        return new RecordingListener(request.target());
    }

    private final class RecordingListener implements CallerListener {
        private final String target;

        RecordingListener(String target) {
            this.target = target;
        }

        @Override
        public void disconnected() {
            events.add(target + " disconnected");
        }

        @Override
        public void writabilityChanged(boolean writable) {
            events.add(target + " writabilityChanged " + writable);
        }

        @Override
        public void refuseIfWaiting() {
            events.add(target + " refuseIfWaiting");
        }

        @Override
        public void terminate() {
            events.add(target + " terminate");
        }
    }
}
