package org.cowslippick.fleet.peer;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;

/** Opens connections and performs the handshake on them, within a timeout. */
final class Dialler {

    static final Duration HANDSHAKE_TIMEOUT = Duration.ofMillis(500);
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(128 << 10, 512 << 10);

    private final EventLoopGroup group;
    private final TimerService timer;
    private final HandshakeSettings settings;

    Dialler(EventLoopGroup group, TimerService timer, HandshakeSettings settings) {
        this.group = group;
        this.timer = timer;
        this.settings = settings;
    }

    /** Completes with an authenticated channel to the entry, or exceptionally if connecting or the handshake fails. */
    CompletableFuture<Channel> dial(InstanceName expected, HostAndPort address) {
        CompletableFuture<Channel> result = new CompletableFuture<>();
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) HANDSHAKE_TIMEOUT.toMillis())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initialize(channel, expected, result);
                    }
                })
                .connect(address.getHost(), address.getPort());
        Channels.whenDone(connecting, () -> {
            if (!connecting.isSuccess()) {
                result.completeExceptionally(connecting.cause());
            }
        });
        TimerService.Subscription timeout = timer.schedule(HANDSHAKE_TIMEOUT, () -> failOnTimeout(connecting, result));
        Channels.whenDone(result, (_channel, _failure) -> timeout.cancel());
        return result;
    }

    private void initialize(Channel channel, InstanceName expected, CompletableFuture<Channel> result) {
        channel.pipeline().addLast(new FlushConsolidationHandler());
        EnvelopeCodec.install(
                channel.pipeline(), HandshakeSettings.HANDSHAKE_CODEC, HandshakeSettings.MAXIMUM_HANDSHAKE_FRAME_BYTES);
        channel.pipeline().addLast(new DiallerHandshake(settings, peer -> finish(channel, expected, peer, result)));
        channel.pipeline().addLast(new ConnectionExceptionHandler());
        Channels.whenDone(
                channel.closeFuture(),
                () -> result.completeExceptionally(new HandshakeException("connection closed during the handshake")));
    }

    private static void finish(
            Channel channel, InstanceName expected, PeerIdentity peer, CompletableFuture<Channel> result) {
        if (!peer.name().equals(expected)) {
            throw new HandshakeException("expected instance " + expected + ", reached " + peer.name());
        }
        if (!result.complete(channel)) {
            Channels.close(channel);
        }
    }

    private static void failOnTimeout(ChannelFuture connecting, CompletableFuture<Channel> result) {
        if (result.completeExceptionally(
                new HandshakeException("no handshake within " + HANDSHAKE_TIMEOUT.toMillis() + " ms"))) {
            Channels.close(connecting.channel());
        }
    }
}
