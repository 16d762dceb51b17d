package org.cowslippick.relay.message;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/** Options of all TCP connections of the relay. */
public final class SocketOptions {

    /** A peer that vanished without closing is detected after the idle time and the probes: 3 seconds. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    private static final ImmutableMap<ChannelOption<?>, Object> OPTIONS = ImmutableMap.of(
            ChannelOption.TCP_NODELAY,
            true,
            ChannelOption.SO_KEEPALIVE,
            true,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
            KEEP_ALIVE_IDLE_SECONDS,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
            KEEP_ALIVE_INTERVAL_SECONDS,
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
            KEEP_ALIVE_PROBES);

    private SocketOptions() {}

    /** Sets the options of an accepted connection, or of one before it connects. */
    @SuppressWarnings("unchecked")
    public static void apply(io.netty.channel.Channel channel) {
        OPTIONS.forEach((option, value) -> channel.config().setOption((ChannelOption<Object>) option, value));
    }
}
