package org.cowslippick.relay.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.message.CallerRequest;
import org.jboss.logging.Logger;

/**
 * One connection of a caller. Reads one request at a time, whole, and hands it on; what the caller sends ahead waits
 * until the answer is written.
 */
// A failed write shows as the close of the connection.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.caller");
    private static final int MAXIMUM_PIPELINED_MESSAGES = 64;

    /** How long a closing connection still reads, so that unread bytes do not destroy the last answer. */
    private static final Duration LINGERING_CLOSE_TIMEOUT = Duration.ofMillis(500);

    private final CallerConnections connections;
    private final ArrayDeque<HttpObject> pipelined = new ArrayDeque<>();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private Optional<HttpRequest> head = Optional.empty();
    private Optional<CallerListener> listener = Optional.empty();
    private ChannelHandlerContext context;
    private int reserved;
    private boolean answering;
    private boolean closing;
    private boolean readingHead;
    private long timeoutStartNanos;

    CallerConnection(CallerConnections connections) {
        this.connections = connections;
        this.timeoutStartNanos = connections.timer().nanoTime();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        connections.register(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        readingHead = false;
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (answering) {
            pipelined.add((HttpObject) message);
            context.channel().config().setAutoRead(pipelined.size() < MAXIMUM_PIPELINED_MESSAGES);
        } else {
            read((HttpObject) message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        connections.unregister(this);
        closing = true;
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        releaseBody();
        Optional<CallerListener> current = listener;
        listener = Optional.empty();
        current.ifPresent(CallerListener::disconnected);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext _context) {
        listener.ifPresent(present -> present.writabilityChanged(context.channel().isWritable()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.error(LogLine.of("caller-connection-failed"), cause);
        }
        context.close();
    }

    /** Bytes of a request arrived that may not be a whole head yet. */
    void bytesArrived() {
        if (!answering && head.isEmpty() && !readingHead) {
            readingHead = true;
            timeoutStartNanos = connections.timer().nanoTime();
        } else if (head.isPresent()) {
            timeoutStartNanos = connections.timer().nanoTime();
        }
    }

    boolean isBusy() {
        return answering || head.isPresent() || readingHead;
    }

    void closeIfIdle() {
        if (!isBusy()) {
            closing = true;
            context.close();
        }
    }

    /** Ends the connection if the caller took longer than it may. */
    void enforceTimeouts(long nowNanos) {
        if (answering || closing) {
            return;
        }
        Duration quiet = Duration.ofNanos(nowNanos - timeoutStartNanos);
        Duration headerTimeout = connections.limits().headerTimeout();
        if ((readingHead || head.isPresent()) && quiet.compareTo(headerTimeout) > 0) {
            reject(ErrorKind.CALLER_TOO_SLOW, "the request did not arrive within " + headerTimeout.toMillis() + " ms");
        } else if (!isBusy() && quiet.compareTo(connections.limits().idleTimeout()) > 0) {
            closeIfIdle();
        }
    }

    void write(HttpObject message) {
        if (message instanceof HttpMessage first) {
            markClose(first);
        }
        context.writeAndFlush(message);
    }

    /** Writes the end of an answer; the connection is then ready for the next request, or closes. */
    void writeLast(HttpObject message) {
        if (message instanceof HttpMessage first) {
            markClose(first);
        }
        listener = Optional.empty();
        answering = false;
        timeoutStartNanos = connections.timer().nanoTime();
        if (closing) {
            context.writeAndFlush(message).addListener((ChannelFutureListener) _done -> closeAfterLinger());
            return;
        }
        context.writeAndFlush(message);
        readPipelined();
    }

    void abort() {
        listener = Optional.empty();
        closing = true;
        context.close();
    }

    private void markClose(HttpMessage message) {
        closing = closing || connections.isDraining();
        if (closing) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void closeAfterLinger() {
        ((SocketChannel) context.channel()).shutdownOutput();
        context.executor().schedule(() -> context.close(), LINGERING_CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void readPipelined() {
        while (!answering && !closing && !pipelined.isEmpty()) {
            read(pipelined.poll());
        }
        context.channel().config().setAutoRead(pipelined.size() < MAXIMUM_PIPELINED_MESSAGES);
    }

    private void read(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                rejectUndecodable(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content && head.isPresent()) {
                append(content.content());
            }
            if (message instanceof LastHttpContent && head.isPresent()) {
                complete();
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        timeoutStartNanos = connections.timer().nanoTime();
        if (hasAmbiguousLength(request)) {
            reject(ErrorKind.MALFORMED_REQUEST, "the length of the body is given in two ways");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > connections.limits().maximumBodyBytes()) {
            rejectTooLarge();
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        head = Optional.of(request);
        body = new ByteArrayOutputStream((int) HttpUtil.getContentLength(request, 0L));
    }

    /** Two lengths in one request are how a second request is smuggled past a relay (RFC 9112, section 6.3). */
    private static boolean hasAmbiguousLength(HttpRequest request) {
        boolean encoded = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunkedOnly =
                request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(request.headers()
                                .get(HttpHeaderNames.TRANSFER_ENCODING)
                                .strip());
        boolean sized = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        return encoded && (sized || !chunkedOnly);
    }

    private void append(ByteBuf bytes) {
        int length = bytes.readableBytes();
        if (body.size() + length > connections.limits().maximumBodyBytes()) {
            rejectTooLarge();
            return;
        }
        if (!connections.tryReserve(length)) {
            reject(ErrorKind.SHED, "too many bodies wait in memory");
            return;
        }
        reserved += length;
        byte[] copy = new byte[length];
        bytes.readBytes(copy);
        body.writeBytes(copy);
    }

    private void complete() {
        HttpRequest request = head.orElseThrow();
        head = Optional.empty();
        answering = true;
        if (!HttpUtil.isKeepAlive(request)) {
            closing = true;
        }
        CallerRequest complete = connections
                .reader()
                .read(
                        request,
                        Unpooled.wrappedBuffer(body.toByteArray()),
                        connections.timer().nanoTime());
        releaseBody();
        closing = closing || connections.isDraining();
        CallerListener requestListener = connections.handler().handle(whole, new CallerExchange(this));
        if (answering) {
            listener = Optional.of(requestListener);
        }
    }

    private void releaseBody() {
        connections.release(reserved);
        reserved = 0;
        body = new ByteArrayOutputStream(0);
    }

    private void rejectUndecodable(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            closing = true;
            writeLast(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE));
        } else {
            reject(ErrorKind.MALFORMED_REQUEST, "the bytes are no HTTP request");
        }
    }

    private void rejectTooLarge() {
        reject(ErrorKind.BODY_TOO_LARGE, "the limit is " + connections.limits().maximumBodyBytes() + " bytes");
    }

    private void reject(ErrorKind kind, String detail) {
        head = Optional.empty();
        readingHead = false;
        releaseBody();
        closing = true;
        new CallerExchange(this).fail(Failure.of(kind, detail));
    }
}
