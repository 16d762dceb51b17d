package org.cowslippick.relay.endpoint;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * A connection to an endpoint, which serves one request at a time on it. Bytes that come when no answer is due close
 * the connection; an answer that bears another request's id is skipped.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class EndpointConnection extends ChannelInboundHandlerAdapter {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.endpoint");

    private final String attemptIdName;
    private final AnswerDecoder decoder;
    private final Consumer<EndpointConnection> idle;
    private Optional<AnswerListener> listener = Optional.empty();
    private Optional<String> attemptId = Optional.empty();
    private ChannelHandlerContext context;
    private boolean requestWritten;
    private boolean skipping;
    private boolean reusable;
    private boolean failed;
    private String failure = "connection closed";
    private long idleSinceNanos;

    EndpointConnection(String attemptIdName, AnswerDecoder decoder, Consumer<EndpointConnection> idle) {
        this.attemptIdName = attemptIdName;
        this.decoder = decoder;
        this.idle = idle;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    boolean open() {
        return context.channel().isActive();
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void idleSince(long nowNanos) {
        idleSinceNanos = nowNanos;
    }

    void send(Dispatch dispatch, AnswerListener answers) {
        listener = Optional.of(answers);
        attemptId = Optional.of(dispatch.attemptId());
        requestWritten = false;
        reusable = false;
        decoder.answersTo(dispatch.head().method().equals(HttpMethod.HEAD));
        context.write(dispatch.head());
        context.writeAndFlush(new DefaultLastHttpContent(dispatch.body().retainedDuplicate()))
                .addListener(_done -> requestWritten = true);
        answers.sent();
    }

    void close() {
        listener = Optional.empty();
        context.close();
    }

    void reading(boolean wanted) {
        context.channel().config().setAutoRead(wanted);
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        try {
            if (listener.isEmpty()) {
                context.close();
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        breakOff(failure);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.error(LogLine.of("endpoint-connection-failed"), cause);
        }
        failed = true;
        failure = String.valueOf(cause.getMessage());
        context.close();
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            breakOff("the endpoint sent bytes that are no answer");
            context.close();
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content
                && !skipping
                && content.content().isReadable()) {
            listener.ifPresent(present -> present.part(content.content()));
        }
        if (message instanceof LastHttpContent) {
            readEnd();
        }
    }

    private void readHead(HttpResponse head) {
        String echoed = head.headers().get(attemptIdName);
        skipping = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || (echoed != null && !attemptId.get().equals(echoed));
        if (skipping) {
            return;
        }
        reusable = HttpUtil.isKeepAlive(head)
                && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
        listener.ifPresent(present -> present.head(head));
    }

    private void readEnd() {
        if (skipping) {
            skipping = false;
            return;
        }
        if (failed) {
            return;
        }
        Optional<AnswerListener> waiting = listener;
        listener = Optional.empty();
        boolean keep = reusable && requestWritten;
        if (keep) {
            idle.accept(this);
        } else {
            context.close();
        }
        waiting.ifPresent(AnswerListener::ended);
    }

    private void breakOff(String cause) {
        Optional<AnswerListener> waiting = listener;
        listener = Optional.empty();
        waiting.ifPresent(present -> present.broken(cause));
    }
}
