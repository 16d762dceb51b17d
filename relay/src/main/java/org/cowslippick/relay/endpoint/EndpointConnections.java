package org.cowslippick.relay.endpoint;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.message.SocketOptions;
import org.cowslippick.relay.time.LoopMonitor;

/**
 * A connection pool for endpoints. A request that must not run twice always gets a new connection: if the endpoint
 * closes a pooled connection at the moment of sending, the relay cannot tell whether the request ran.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class EndpointConnections {

    /** A round trip between regions takes 60 ms; a loaded endpoint accepts within one more. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Below the shortest keep-alive timeout that an endpoint can announce, which is one second. */
    private static final long MAXIMUM_IDLE_NANOS = Duration.ofMillis(800).toNanos();

    private static final Duration EVICTION_PERIOD = Duration.ofMillis(500);
    private static final int MAXIMUM_IDLE_PER_ENDPOINT = 8;

    private final EventLoopGroup loops;
    private final TimerService timer;
    private final LoopMonitor monitor;
    private final String attemptIdHeader;
    private final Map<HostAndPort, Deque<EndpointConnection>> idle = new HashMap<>();

    /** Creates an empty pool. All methods must be called on the only event loop of the group. */
    public EndpointConnections(EventLoopGroup loops, TimerService timer, LoopMonitor monitor, String attemptIdHeader) {
        this.loops = loops;
        this.timer = timer;
        this.monitor = monitor;
        this.attemptIdHeader = attemptIdHeader;
        timer.scheduleWithFixedDelay(EVICTION_PERIOD, this::evictExpired);
    }

    /**
     * Sends a request once a connection is open and everything is read that has arrived, so that a caller's close comes
     * first.
     *
     * @param attemptId echoed by the endpoint; a response with another id belongs to another request
     * @param mayRepeat whether the request may use a pooled connection, on which it can be lost without proof that it did
     *     not run
     * @param dispatch called at the moment of sending; empty if the request must not be sent any more
     * @return a handle that cancels the request
     */
    public Handle send(
            LiveEndpoint endpoint,
            String attemptId,
            boolean mayRepeat,
            Supplier<Optional<Dispatch>> dispatch,
            ResponseListener listener) {
        Handle handle = new Handle();
        monitor.afterReading(() -> {
            if (handle.cancelled) {
                return;
            }
            Optional<EndpointConnection> pooled =
                    mayRepeat ? acquireIdle(endpoint.address(), attemptId) : Optional.empty();
            if (pooled.isPresent()) {
                handle.start(pooled.get(), dispatch, listener);
            } else {
                open(endpoint.address(), dispatch, listener, handle);
            }
        });
        return handle;
    }

    /** Opens a connection to an endpoint, sends nothing and closes it. */
    public void probe(HostAndPort address, Consumer<ProbeResult> listener) {
        ChannelFuture connecting =
                bootstrap(new ChannelInboundHandlerAdapter()).connect(address.getHost(), address.getPort());
        connecting.addListener(_done -> {
            connecting.channel().close();
            listener.accept(connecting.isSuccess() ? ProbeResult.ACCEPTED : ProbeResult.ofFailure(connecting.cause()));
        });
    }

    private Bootstrap bootstrap(ChannelHandler handler) {
        return new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(handler);
    }

    private Optional<EndpointConnection> acquireIdle(HostAndPort address, String attemptId) {
        Deque<EndpointConnection> pool = idle.getOrDefault(address, new ArrayDeque<>());
        long now = timer.nanoTime();
        while (!pool.isEmpty()) {
            EndpointConnection connection = pool.pollLast();
            boolean isUsable = connection.isOpen() && connection.canSend(attemptId);
            if (isUsable && now - connection.idleSinceNanos() < MAXIMUM_IDLE_NANOS) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    private void open(
            HostAndPort address, Supplier<Optional<Dispatch>> dispatch, ResponseListener listener, Handle handle) {
        ResponseDecoder decoder = new ResponseDecoder();
        EndpointConnection connection =
                new EndpointConnection(address, attemptIdHeader, decoder, finished -> release(address, finished));
        ChannelFuture connecting = bootstrap(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        SocketOptions.apply(channel);
                        channel.pipeline()
                                .addLast(new UnexpectedBytesHandler(connection))
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(address.getHost(), address.getPort());
        connecting.addListener(_done -> monitor.afterReading(() -> {
            if (handle.cancelled) {
                connecting.channel().close();
            } else if (!connecting.isSuccess()) {
                listener.connectFailed(String.valueOf(connecting.cause().getMessage()));
            } else if (connection.isOpen()) {
                handle.start(connection, dispatch, listener);
            } else {
                listener.connectFailed("the endpoint closed the new connection");
            }
        }));
    }

    private void release(HostAndPort address, EndpointConnection connection) {
        Deque<EndpointConnection> pool = idle.computeIfAbsent(address, _address -> new ArrayDeque<>());
        if (pool.size() >= MAXIMUM_IDLE_PER_ENDPOINT) {
            connection.close();
            return;
        }
        connection.markIdle(timer.nanoTime());
        pool.addLast(connection);
    }

    private void evictExpired() {
        long now = timer.nanoTime();
        idle.values()
                .forEach(pool -> pool.removeIf(connection -> {
                    boolean expired = !connection.isOpen() || now - connection.idleSinceNanos() >= MAXIMUM_IDLE_NANOS;
                    if (expired) {
                        connection.close();
                    }
                    return expired;
                }));
        idle.values().removeIf(Deque::isEmpty);
    }

    /** A dispatch that can be cancelled. */
    public static final class Handle {
        private Optional<EndpointConnection> connection = Optional.empty();
        private boolean cancelled;

        private void start(
                EndpointConnection opened, Supplier<Optional<Dispatch>> dispatch, ResponseListener listener) {
            connection = Optional.of(opened);
            dispatch.get().ifPresentOrElse(present -> opened.send(present, listener), opened::close);
        }

        /** Closes the connection, which makes the endpoint cancel the request; the listener is not called again. */
        public void cancel() {
            cancelled = true;
            connection.ifPresent(EndpointConnection::close);
        }

        /** Pauses or resumes reading, as backpressure from a slow caller. */
        public void setReading(boolean enabled) {
            connection.ifPresent(present -> present.setReading(enabled));
        }
    }
}
