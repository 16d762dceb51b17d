package org.cowslippick.relay.caller;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.cowslippick.relay.message.SocketOptions;

/** Listens for callers. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class CallerServer {

    private static final int MAXIMUM_FIRST_LINE_BYTES = 8192;
    private static final int MAXIMUM_PART_BYTES = 16_384;
    private static final int WAITING_CONNECTIONS = 1024;

    private final ChannelFuture binding;

    private CallerServer(ChannelFuture binding) {
        this.binding = binding;
    }

    /** Starts to bind the address. */
    public static CallerServer listen(HostAndPort address, EventLoopGroup loops, CallerConnections connections) {
        ChannelFuture binding = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, WAITING_CONNECTIONS)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        initialize(accepted, connections);
                    }
                })
                .bind(address.getHost(), address.getPort());
        return new CallerServer(binding);
    }

    /** Ends when the address is bound, or could not be. */
    public ChannelFuture bound() {
        return binding;
    }

    /** Accepts no more connections. */
    public void close() {
        binding.channel().close();
    }

    private static void initialize(Channel accepted, CallerConnections connections) {
        SocketOptions.apply(accepted);
        CallerConnection connection = new CallerConnection(connections);
        accepted.pipeline()
                .addLast(new ByteWatch(connection))
                .addLast(new HttpRequestDecoder(
                        MAXIMUM_FIRST_LINE_BYTES, connections.limits().maximumHeaderBytes(), MAXIMUM_PART_BYTES))
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    /** Tells the connection that bytes arrived before they are decoded. */
    private static final class ByteWatch extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ByteWatch(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes && bytes.isReadable()) {
                connection.bytesArrived();
            }
            context.fireChannelRead(message);
        }
    }
}
