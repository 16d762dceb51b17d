package org.cowslippick.relay.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.client.ClientMemory;
import org.cowslippick.relay.client.ConnectionLimit;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.message.HeaderNames;
import org.cowslippick.relay.message.RequestReader;
import org.cowslippick.relay.metrics.RelayMetrics;
import org.cowslippick.relay.time.EventLoopTimerService;
import org.cowslippick.relay.time.LoopMonitor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A connection whose response is still to be flushed, and the memory of the bodies of all connections. */
class CallerConnectionTest {

    static final HeaderNames NAMES = new HeaderNames(
            "X-Attempt",
            "X-Remaining",
            "X-Key",
            "X-Organisation",
            "X-Expect",
            "X-Seal",
            "X-Not-Run",
            "X-Limit",
            "X-Leaving",
            "X-Load",
            "X-Tokens",
            "X-Parts",
            "X-Hint",
            "X-Last-Event",
            "X-Resumes",
            ImmutableSet.of());

    private static final int LARGE_BODY_BYTES = 4 << 20;

    /** Half of the heap of the smallest deployment. */
    private static final long MAXIMUM_BODY_MEMORY_BYTES = 90 << 20;

    private static final int DECLARED_BODIES = 300;

    private final Queue<CallerExchange> unanswered = new ArrayDeque<>();
    private boolean answersAtOnce = true;
    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final TimerService timer = new EventLoopTimerService(loops.next());
    private final HeldWrites writes = new HeldWrites();
    private static final long MEMORY_BYTES = 80L << 20;
    private static final int CONNECTIONS = 1_000;
    private final CallerConnections connections = new CallerConnections(
            () -> CallerLimits.DEFAULT,
            timer,
            new LoopMonitor((SingleThreadEventLoop) loops.next(), timer),
            new RequestReader(NAMES),
            this::handle,
            new ClientMemory(MEMORY_BYTES, timer, new RelayMetrics()),
            new ConnectionLimit(CONNECTIONS, timer, new RelayMetrics()));
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

    /** Hung requests kept their bodies in memory that was not counted, until the process ran out of it (CONFIG). */
    @Test
    void countsABodyUntilItsRequestIsAnswered() {
        answersAtOnce = false;
        sendBody(channel, LARGE_BODY_BYTES);
        assertEquals(LARGE_BODY_BYTES, connections.bufferedBytes());
        answer(unanswered.remove());
        assertEquals(0, connections.bufferedBytes());
    }

    @Test
    void countsNoBodyOfACallerThatHasLeft() {
        answersAtOnce = false;
        sendBody(channel, LARGE_BODY_BYTES);
        channel.close().syncUninterruptibly();
        assertEquals(0, connections.bufferedBytes());
    }

    @Test
    void refusesALargeBodyBeforeASmallOne() {
        answersAtOnce = false;
        for (int sent = 0; sent < MAXIMUM_BODY_MEMORY_BYTES; sent += LARGE_BODY_BYTES) {
            sendBody(new EmbeddedChannel(writes, new CallerConnection(connections)), LARGE_BODY_BYTES);
        }
        int accepted = unanswered.size();
        assertFalse(writes.held.isEmpty());
        sendBody(new EmbeddedChannel(writes, new CallerConnection(connections)), 1_000);
        assertEquals(accepted + 1, unanswered.size());
    }

    /** All heap memory of the tests would be used up by what these callers have only announced. */
    @Test
    void aDeclaredLengthTakesNoMemory() {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        HttpUtil.setContentLength(head, LARGE_BODY_BYTES);
        List<EmbeddedChannel> announcing = Stream.generate(() -> new EmbeddedChannel(new CallerConnection(connections)))
                .limit(DECLARED_BODIES)
                .peek(caller -> caller.writeInbound(head))
                .toList();
        assertTrue(announcing.stream().allMatch(EmbeddedChannel::isOpen));
        assertEquals(0, connections.bufferedBytes());
    }

    private static void sendBody(EmbeddedChannel sender, int bytes) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[bytes]));
        HttpUtil.setContentLength(request, bytes);
        sender.writeInbound(request);
    }

    private static void answer(CallerExchange exchange) {
        exchange.fail(Failure.of(ErrorKind.UNKNOWN_PATH, "no route"));
    }

    private void sendRequest() {
        channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    }

    private CallerListener handle(CallerRequest _request, CallerExchange exchange) {
        if (answersAtOnce) {
            answer(exchange);
        } else {
            unanswered.add(exchange);
        }
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
    @ChannelHandler.Sharable
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
