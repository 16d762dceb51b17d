package org.cowslippick.relay.endpoint;

import com.google.common.collect.ImmutableSet;
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
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.message.SocketOptions;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.relay.time.LoopMonitor;

/**
 * The connections to endpoints. Idle ones are kept for as long as the endpoint allows. On a kept connection a request can be
 * lost without proof that it did not run, so a request that must not run twice uses one only with its end held back.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class EndpointConnections {

    /** A round trip between regions takes 60 ms; a loaded endpoint accepts within one more. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private static final Duration EVICTION_PERIOD = Duration.ofMillis(500);

    /**
     * The kernel doubles it, and else takes up to 4 MB, so that a long upload would count as written that the endpoint has
     * hardly begun to read. Between regions, 42 Mbit/s and a round trip of 60 ms take 315 KB.
     */
    private static final int SEND_BUFFER_BYTES = 256 << 10;

    /** The ids of endpoints that a slot request names. */
    private static final int MAXIMUM_CONNECTED_ENDPOINTS = 8;

    private final EventLoopGroup loops;
    private final TimerService timer;
    private final LoopMonitor monitor;
    private final String attemptIdHeader;
    private final IdleConnections idle;
    private final HoldBackPolicy holdBacks;
    private final Consumer<RelayEvent> events;
    private final ConnectionContext context;

    /**
     * Creates an empty pool. All methods must be called on the only event loop of the group.
     *
     * @param region the region of this instance
     * @param maximumLongLived the connections to one endpoint of a service that may idle for longer than without a
     *     {@code Keep-Alive} header
     */
    public EndpointConnections(
            EventLoopGroup loops,
            TimerService timer,
            LoopMonitor monitor,
            String attemptIdHeader,
            Region region,
            ToIntFunction<ServiceName> maximumLongLived,
            Consumer<RelayEvent> events) {
        this.loops = loops;
        this.timer = timer;
        this.monitor = monitor;
        this.attemptIdHeader = attemptIdHeader;
        this.idle = new IdleConnections(maximumLongLived);
        this.holdBacks = new HoldBackPolicy(region);
        this.events = events;
        this.context = new ConnectionContext(timer, monitor, idle, holdBacks, events, this::open);
        timer.scheduleWithFixedDelay(EVICTION_PERIOD, () -> idle.evictExpired(timer.nanoTime()));
    }

    /**
     * Sends a request once a connection is open and everything is read that has arrived, so that a caller's close comes
     * first.
     *
     * @param attemptId echoed by the endpoint; a response with another id belongs to another request
     * @param mayRepeat whether the request may be lost on a kept connection without proof that it did not run
     * @param dispatch called at the moment of sending, and before if the end of the request is held back; empty if the
     *     request must not be sent any more
     * @return a handle that cancels the request
     */
    public Handle send(
            LiveEndpoint endpoint,
            String attemptId,
            boolean mayRepeat,
            Supplier<Optional<Dispatch>> dispatch,
            ResponseListener listener) {
        Handle handle = new Handle();
        RequestSender sender = new RequestSender(context, endpoint, dispatch, listener, handle);
        monitor.afterReading(() -> {
            if (handle.cancelled) {
                return;
            }
            if (mayRepeat) {
                sender.sendRepeatable(attemptId);
            } else {
                sender.sendOnce(attemptId);
            }
        });
        return handle;
    }

    /**
     * The endpoints of a service to which a request may use an idle connection, at most 8, the most recently used. Those that
     * do not announce how long they keep connections are left out, as placement should not depend on them.
     */
    public ImmutableSet<String> connectedEndpoints(ServiceName service, boolean mayRepeat) {
        long now = timer.nanoTime();
        return idle.endpoints(
                service,
                kept -> mayRepeat ? kept.isAnnounced() : holdBacks.allows(kept, now),
                MAXIMUM_CONNECTED_ENDPOINTS,
                now);
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
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .handler(handler);
    }

    private void open(
            LiveEndpoint endpoint, Handle handle, Consumer<EndpointConnection> onOpen, Consumer<String> onFailure) {
        HostAndPort address = endpoint.address();
        ResponseDecoder decoder = new ResponseDecoder();
        HeadHolder headHolder = new HeadHolder();
        EndpointConnection connection = new EndpointConnection(
                address,
                attemptIdHeader,
                decoder,
                headHolder,
                finished -> idle.add(endpoint, finished, timer.nanoTime()));
        ChannelFuture connecting = bootstrap(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        SocketOptions.apply(channel);
                        channel.pipeline()
                                .addLast(new UnexpectedBytesHandler(connection))
                                .addLast(headHolder)
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
                onFailure.accept(String.valueOf(connecting.cause().getMessage()));
            } else if (connection.isOpen()) {
                events.accept(RelayEvent.CONNECTION_OPENED);
                onOpen.accept(connection);
            } else {
                onFailure.accept("the endpoint closed the new connection");
            }
        }));
    }

    /** A dispatch that can be cancelled. */
    public static final class Handle {
        private Optional<EndpointConnection> connection = Optional.empty();
        private boolean cancelled;

        void use(EndpointConnection current) {
            connection = Optional.of(current);
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
