package org.cowslippick.relay.endpoint;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.message.SocketOptions;

/**
 * Opens connections to endpoints and keeps idle ones. A request that must not run twice always gets a new connection:
 * on a kept one that the endpoint closes at that moment, nobody could tell whether it ran.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class EndpointConnections {

    /** A round trip between regions takes 60 ms; an endpoint in use accepts within one more. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Below the shortest timeout that an endpoint can state, which is a whole second. */
    private static final long LONGEST_IDLE_NANOS = Duration.ofMillis(800).toNanos();

    private static final Duration SWEEP_PERIOD = Duration.ofMillis(500);
    private static final int MAXIMUM_IDLE_PER_ENDPOINT = 8;

    private final EventLoopGroup loops;
    private final TimerService timer;
    private final String attemptIdName;
    private final Map<HostAndPort, Deque<EndpointConnection>> idle = new HashMap<>();

    /** Creates a set without connections; all calls come from the one event loop of the group. */
    public EndpointConnections(EventLoopGroup loops, TimerService timer, String attemptIdName) {
        this.loops = loops;
        this.timer = timer;
        this.attemptIdName = attemptIdName;
        timer.every(SWEEP_PERIOD, this::closeOld);
    }

    /** Sends the request; the returned handle cancels it. */
    public Handle send(LiveEndpoint endpoint, Dispatch dispatch, AnswerListener listener) {
        Handle handle = new Handle();
        Optional<EndpointConnection> kept = dispatch.mayRepeat() ? take(endpoint.address()) : Optional.empty();
        if (kept.isPresent()) {
            handle.start(kept.get(), dispatch, listener);
        } else {
            open(endpoint.address(), dispatch, listener, handle);
        }
        return handle;
    }

    private Optional<EndpointConnection> take(HostAndPort address) {
        Deque<EndpointConnection> kept = idle.getOrDefault(address, new ArrayDeque<>());
        long now = timer.nanoTime();
        while (!kept.isEmpty()) {
            EndpointConnection connection = kept.pollLast();
            if (connection.open() && now - connection.idleSinceNanos() < LONGEST_IDLE_NANOS) {
                return Optional.of(connection);
            }
            connection.close();
        }
        return Optional.empty();
    }

    private void open(HostAndPort address, Dispatch dispatch, AnswerListener listener, Handle handle) {
        AnswerDecoder decoder = new AnswerDecoder();
        EndpointConnection connection =
                new EndpointConnection(attemptIdName, decoder, finished -> keep(address, finished));
        ChannelFuture connecting = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        SocketOptions.apply(channel);
                        channel.pipeline()
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                })
                .connect(address.getHost(), address.getPort());
        connecting.addListener(_done -> {
            if (handle.cancelled) {
                connecting.channel().close();
            } else if (connecting.isSuccess()) {
                handle.start(connection, dispatch, listener);
            } else {
                listener.unreachable(String.valueOf(connecting.cause().getMessage()));
            }
        });
    }

    private void keep(HostAndPort address, EndpointConnection connection) {
        Deque<EndpointConnection> kept = idle.computeIfAbsent(address, _address -> new ArrayDeque<>());
        if (kept.size() >= MAXIMUM_IDLE_PER_ENDPOINT) {
            connection.close();
            return;
        }
        connection.idleSince(timer.nanoTime());
        kept.addLast(connection);
    }

    private void closeOld() {
        long now = timer.nanoTime();
        idle.values()
                .forEach(kept -> kept.removeIf(connection -> {
                    boolean old = !connection.open() || now - connection.idleSinceNanos() >= LONGEST_IDLE_NANOS;
                    if (old) {
                        connection.close();
                    }
                    return old;
                }));
        idle.values().removeIf(Deque::isEmpty);
    }

    /** A dispatch that can be given up. */
    public static final class Handle {
        private Optional<EndpointConnection> connection = Optional.empty();
        private boolean cancelled;

        private void start(EndpointConnection opened, Dispatch dispatch, AnswerListener listener) {
            connection = Optional.of(opened);
            opened.send(dispatch, listener);
        }

        /** Closes the connection, by which the endpoint drops the request; nothing more is heard of it. */
        public void cancel() {
            cancelled = true;
            connection.ifPresent(EndpointConnection::close);
        }

        /** Reads on, or stops reading while the caller is slow. */
        public void reading(boolean wanted) {
            connection.ifPresent(present -> present.reading(wanted));
        }
    }
}
