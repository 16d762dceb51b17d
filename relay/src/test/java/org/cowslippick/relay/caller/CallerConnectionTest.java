package org.cowslippick.relay.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.message.HeaderNames;
import org.cowslippick.relay.message.RequestReader;
import org.cowslippick.relay.time.EventLoopTimerService;
import org.cowslippick.relay.time.LoopMonitor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A connection whose caller reads slowly, so that its response is still to be flushed. */
class CallerConnectionTest {

    private static final HeaderNames NAMES = new HeaderNames(
            "X-Attempt",
            "X-Remaining",
            "X-Key",
            "X-Organisation",
            "X-Expect",
            "X-Seal",
            "X-Not-Run",
            "X-Limit",
            "X-Leaving",
            "X-Tokens",
            "X-Parts",
            "X-Hint",
            "X-Last-Event",
            ImmutableSet.of());

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final TimerService timer = new EventLoopTimerService(loops.next());
    private final HeldWrites writes = new HeldWrites();
    private final CallerConnections connections = new CallerConnections(
            () -> CallerLimits.DEFAULT,
            timer,
            new LoopMonitor((SingleThreadEventLoop) loops.next(), timer),
            new RequestReader(NAMES),
            CallerConnectionTest::respond);
    private final CallerConnection connection = new CallerConnection(connections);
    private final EmbeddedChannel channel = new EmbeddedChannel(writes, connection);

    @AfterEach
    void stopLoop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** The close of idle connections dropped the end of such a response, and the exit did not wait for it (LOST). */
    @Test
    void isBusyAndNotClosedAsIdleUntilItsResponseIsFlushed() {
        sendRequest();
        connections.closeIdle();
        assertTrue(channel.isOpen());
        assertEquals(1, connections.busyCount());
        writes.flushNext();
        assertEquals(0, connections.busyCount());
        connections.closeIdle();
        assertFalse(channel.isOpen());
    }

    @Test
    void isBusyUntilTheLastOfItsResponsesIsFlushed() {
        sendRequest();
        sendRequest();
        writes.flushNext();
        connections.closeIdle();
        assertTrue(channel.isOpen());
        writes.flushNext();
        assertEquals(0, connections.busyCount());
    }

    /** A caller that reads nothing does not keep its connection. */
    @Test
    void isClosedAfterTheIdleTimeoutWithAResponseThatIsNotFlushed() {
        sendRequest();
        Duration beyond = CallerLimits.DEFAULT.idleTimeout().plusSeconds(1);
        connection.enforceTimeouts(timer.nanoTime() + beyond.toNanos());
        assertFalse(channel.isOpen());
    }

    private void sendRequest() {
        channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    }

    private static CallerListener respond(CallerRequest _request, CallerExchange exchange) {
        exchange.fail(Failure.of(ErrorKind.UNKNOWN_PATH, "no route"));
        return new CallerListener() {
            @Override
            public void disconnected() {}

            @Override
            public void writabilityChanged(boolean _writable) {}

            @Override
            public void refuseIfWaiting() {}

            @Override
            public void terminate() {}
        };
    }

    /** Holds each write back until it is flushed by the test. */
    private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
        private final Queue<ChannelPromise> held = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext _context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            held.add(promise);
        }

        void flushNext() {
            held.remove().setSuccess();
        }
    }
}
