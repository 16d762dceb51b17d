package org.cowslippick.relay.status;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.cowslippick.relay.message.SocketOptions;

/** Serves GET requests from a function of path and query. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class StatusServer {

    private static final int MAXIMUM_REQUEST_BYTES = 8192;
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int UNREAD_RESPONSE_TIMEOUT_SECONDS = 10;

    private final Channel listening;

    private StatusServer(Channel listening) {
        this.listening = listening;
    }

    /**
     * Binds the address, and returns when it is bound.
     *
     * @throws IllegalStateException if it cannot be bound
     */
    public static StatusServer listen(
            HostAndPort address,
            EventLoopGroup loops,
            ClientGuard guard,
            Function<QueryStringDecoder, StatusResponse> answers) {
        ChannelFuture binding = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        SocketOptions.apply(accepted);
                        StatusConnection connection = new StatusConnection(accepted, guard);
                        if (!guard.connections().tryAdd(connection.meter())) {
                            accepted.close();
                            return;
                        }
                        accepted.pipeline()
                                .addLast(connection.meter())
                                .addLast(new WriteTimeoutHandler(UNREAD_RESPONSE_TIMEOUT_SECONDS))
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpServerKeepAliveHandler())
                                .addLast(new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                                .addLast(new StatusHandler(answers, connection));
                    }
                })
                .bind(address.getHost(), address.getPort())
                .awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IllegalStateException("cannot listen on " + address, binding.cause());
        }
        return new StatusServer(binding.channel());
    }

    /** Stops accepting connections. */
    public void close() {
        listening.close();
    }

    private static final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<QueryStringDecoder, StatusResponse> answers;
        private final StatusConnection connection;

        StatusHandler(Function<QueryStringDecoder, StatusResponse> answers, StatusConnection connection) {
            this.answers = answers;
            this.connection = connection;
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            context.channel().config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext _context) {
            connection.closed();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            StatusResponse statusResponse = request.method().equals(HttpMethod.GET)
                    ? answers.apply(new QueryStringDecoder(request.uri()))
                    : StatusResponse.empty(HttpResponseStatus.METHOD_NOT_ALLOWED.code());
            byte[] body = statusResponse.body().getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(statusResponse.status()),
                    Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, statusResponse.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            context.writeAndFlush(response);
            connection.answered();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            context.close();
        }
    }
}
