package org.cowslippick.entry.endpoint;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One request and its response on a connection of their own. A response that the decoder refuses fails the request; Ratpack's
 * client would pass it on.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class EngineConnection extends SimpleChannelInboundHandler<HttpObject> {

    private final FullHttpRequest request;
    private final EngineResponseListener listener;
    private boolean isInformational;
    private boolean hasEnded;

    EngineConnection(FullHttpRequest request, EngineResponseListener listener) {
        this.request = request;
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                fail(context, written.cause());
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail(context, message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && !isInformational && !hasEnded) {
            readContent(context, content);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(context, new PrematureChannelClosureException("the endpoint closed the connection within its response"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, cause);
    }

    private void readHead(HttpResponse head) {
        isInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (!isInformational && !hasEnded) {
            listener.headReceived(head.status().code(), head.headers());
        }
    }

    private void readContent(ChannelHandlerContext context, HttpContent content) {
        listener.contentReceived(content.content());
        if (content instanceof LastHttpContent) {
            hasEnded = true;
            listener.ended();
            context.close();
        }
    }

    private void fail(ChannelHandlerContext context, Throwable cause) {
        if (!hasEnded) {
            hasEnded = true;
            listener.failed(cause);
            context.close();
        }
    }
}
