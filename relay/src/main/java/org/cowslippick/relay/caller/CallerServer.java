package org.cowslippick.relay.caller;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.cowslippick.relay.message.SocketOptions;

/** The HTTP server for callers. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class CallerServer {

    private static final int ACCEPT_BACKLOG = 1024;

    private final ChannelFuture bindFuture;

    private CallerServer(ChannelFuture bindFuture) {
        this.bindFuture = bindFuture;
    }

    /** Starts to bind the address; {@link #bindFuture} reports the result. */
    public static CallerServer listen(HostAndPort address, EventLoopGroup loops, CallerConnections connections) {
        ChannelFuture bindFuture = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        initialize(accepted, connections);
                    }
                })
                .bind(address.getHost(), address.getPort());
        return new CallerServer(bindFuture);
    }

    public ChannelFuture bindFuture() {
        return bindFuture;
    }

    /** Stops accepting connections; open ones are kept. */
    public void close() {
        bindFuture.channel().close();
    }

    private static void initialize(Channel accepted, CallerConnections connections) {
        SocketOptions.apply(accepted);
        CallerConnection connection = new CallerConnection(connections);
        accepted.pipeline()
                .addLast(new CallerRequestDecoder(connections::limits))
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }
}
