package org.cowslippick.fleet.peer;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.fleet.wire.PeerMessage;

/** Accepts connections from other entries, and closes those on which nothing arrives within the read timeout. */
final class Acceptor {

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    private final EventLoopGroup group;
    private final HandshakeSettings settings;
    private final Timeline timeline;
    private final BiConsumer<PeerIdentity, PeerMessage> onMessage;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    Acceptor(
            EventLoopGroup group,
            HandshakeSettings settings,
            Timeline timeline,
            BiConsumer<PeerIdentity, PeerMessage> onMessage) {
        this.group = group;
        this.settings = settings;
        this.timeline = timeline;
        this.onMessage = onMessage;
    }

    /** Starts listening; returns the address with the port that was bound. */
    HostAndPort listen(HostAndPort address) {
        Channel server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initialize(channel);
                    }
                })
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly()
                .channel();
        channels.add(server);
        return HostAndPort.fromParts(address.getHost(), ((InetSocketAddress) server.localAddress()).getPort());
    }

    void close() {
        channels.close().syncUninterruptibly();
    }

    private void initialize(Channel channel) {
        channels.add(channel);
        channel.pipeline().addLast(new FlushConsolidationHandler());
        channel.pipeline().addLast(new ReadTimeoutHandler(READ_TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        EnvelopeCodec.install(
                channel.pipeline(), HandshakeSettings.HANDSHAKE_CODEC, HandshakeSettings.MAXIMUM_HANDSHAKE_FRAME_BYTES);
        channel.pipeline().addLast(new AcceptorHandshake(settings, peer -> startReceiving(channel, peer)));
        channel.pipeline().addLast(new ConnectionExceptionHandler());
    }

    private void startReceiving(Channel channel, PeerIdentity peer) {
        channel.pipeline()
                .addBefore(exceptionHandlerName(channel), null, new InboundHandler(peer, timeline, onMessage));
    }

    private static String exceptionHandlerName(Channel channel) {
        return channel.pipeline().context(ConnectionExceptionHandler.class).name();
    }
}
