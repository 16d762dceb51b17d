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

/** Opens connections and carries out the hello, within a time limit. */
final class Dialler {

    static final Duration HELLO_TIMEOUT = Duration.ofMillis(500);
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(128 << 10, 512 << 10);

    private final EventLoopGroup group;
    private final TimerService timer;
    private final HelloSettings settings;

    Dialler(EventLoopGroup group, TimerService timer, HelloSettings settings) {
        this.group = group;
        this.timer = timer;
        this.settings = settings;
    }

    /** Completes with an authenticated channel to the named entry, or exceptionally. */
    CompletableFuture<Channel> dial(InstanceName expected, HostAndPort address) {
        CompletableFuture<Channel> result = new CompletableFuture<>();
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) HELLO_TIMEOUT.toMillis())
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
        TimerService.Subscription timeout = timer.after(HELLO_TIMEOUT, () -> giveUp(connecting, result));
        Channels.whenDone(result, (_channel, _failure) -> timeout.cancel());
        return result;
    }

    private void initialize(Channel channel, InstanceName expected, CompletableFuture<Channel> result) {
        channel.pipeline().addLast(new FlushConsolidationHandler());
        EnvelopeCodec.install(channel.pipeline(), HelloSettings.HELLO_CODEC, HelloSettings.MAXIMUM_HELLO_BYTES);
        channel.pipeline().addLast(new DiallerHello(settings, peer -> finish(channel, expected, peer, result)));
        channel.pipeline().addLast(new FaultHandler());
        Channels.whenDone(
                channel.closeFuture(),
                () -> result.completeExceptionally(
                        new HelloFailedException("the connection was closed during the hello")));
    }

    private static void finish(
            Channel channel, InstanceName expected, PeerIdentity peer, CompletableFuture<Channel> result) {
        if (!peer.name().equals(expected)) {
            throw new HelloFailedException("expected instance " + expected + " but reached " + peer.name());
        }
        if (!result.complete(channel)) {
            Channels.close(channel);
        }
    }

    private static void giveUp(ChannelFuture connecting, CompletableFuture<Channel> result) {
        if (result.completeExceptionally(new HelloFailedException("the hello took too long"))) {
            Channels.close(connecting.channel());
        }
    }
}
