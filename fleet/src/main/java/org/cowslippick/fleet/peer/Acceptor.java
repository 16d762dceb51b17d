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

/** Accepts connections of other entries; one that sends nothing for a while, not even heartbeats, is closed. */
final class Acceptor {

    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(10);

    private final EventLoopGroup group;
    private final HelloSettings settings;
    private final Timeline timeline;
    private final BiConsumer<PeerIdentity, PeerMessage> delivery;
    private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    Acceptor(
            EventLoopGroup group,
            HelloSettings settings,
            Timeline timeline,
            BiConsumer<PeerIdentity, PeerMessage> delivery) {
        this.group = group;
        this.settings = settings;
        this.timeline = timeline;
        this.delivery = delivery;
    }

    /** Starts to listen and returns the address with the port that was bound. */
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
        accepted.add(server);
        return HostAndPort.fromParts(address.getHost(), ((InetSocketAddress) server.localAddress()).getPort());
    }

    void close() {
        accepted.close().syncUninterruptibly();
    }

    private void initialize(Channel channel) {
        accepted.add(channel);
        channel.pipeline().addLast(new FlushConsolidationHandler());
        channel.pipeline().addLast(new ReadTimeoutHandler(SILENCE_LIMIT.toSeconds(), TimeUnit.SECONDS));
        EnvelopeCodec.install(channel.pipeline(), HelloSettings.HELLO_CODEC, HelloSettings.MAXIMUM_HELLO_BYTES);
        channel.pipeline().addLast(new AcceptorHello(settings, peer -> receive(channel, peer)));
        channel.pipeline().addLast(new FaultHandler());
    }

    private void receive(Channel channel, PeerIdentity peer) {
        channel.pipeline().addBefore(lastName(channel), null, new InboundHandler(peer, timeline, delivery));
    }

    private static String lastName(Channel channel) {
        return channel.pipeline().context(FaultHandler.class).name();
    }
}
