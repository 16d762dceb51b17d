package org.cowslippick.relay.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.relay.client.ClientConnection.Activity;
import org.cowslippick.relay.client.ClientConnection.EvictionReason;
import org.cowslippick.relay.client.ConnectionMeter;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.message.CallerRequest;
import org.jboss.logging.Logger;

/**
 * A caller's connection. Buffers one complete request at a time and hands it to the request handler; pipelined requests
 * wait until the response has been written.
 */
// A failed write shows as the close of the connection, so the write futures are ignored.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter implements ConnectionMeter.Client {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.caller");
    private static final int MAXIMUM_PIPELINED_MESSAGES = 64;

    /** A closing connection reads on for this long: closing with unread bytes would reset it and lose the response. */
    private static final Duration LINGERING_CLOSE_TIMEOUT = Duration.ofMillis(500);

    private final CallerConnections connections;
    private final ConnectionMeter meter;
    private final ResponseBackpressure backpressure;
    private final ArrayDeque<HttpObject> pipelined = new ArrayDeque<>();
    private Optional<RequestBody> body = Optional.empty();
    private Optional<HttpRequest> head = Optional.empty();
    private Optional<CallerListener> listener = Optional.empty();
    private ChannelHandlerContext context;
    private boolean responding;
    private boolean handlingRequest;
    private boolean closing;
    private int unflushedResponses;
    private boolean readingHead;
    private long timeoutStartNanos;
    private long arrivedAtNanos;
    private Optional<Long> connectedAtNanos = Optional.empty();

    CallerConnection(CallerConnections connections) {
        this.connections = connections;
        this.meter = new ConnectionMeter(connections.clientMemory(), connections.timer(), this);
        this.backpressure = new ResponseBackpressure(meter);
        this.timeoutStartNanos = connections.timer().nanoTime();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        added.pipeline().addFirst(meter);
        if (!connections.tryRegister(this)) {
            context.close();
            return;
        }
        connectedAtNanos = Optional.of(earliestArrivalNanos());
        connections.monitor().afterReading(() -> connectedAtNanos = Optional.empty());
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        readingHead = false;
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (responding || !pipelined.isEmpty() || !context.channel().isWritable()) {
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
        meter.update();
        backpressure.update(context.channel(), listener);
        readPipelined();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.error(LogLine.of("caller-connection-failed"), cause);
        }
        context.close();
    }

    /** Restarts the timeout when bytes arrive, except within a request head, whose timeout runs from its first byte. */
    @Override
    public void bytesArrived() {
        if (!responding && head.isEmpty() && !readingHead) {
            readingHead = true;
            timeoutStartNanos = connections.timer().nanoTime();
        } else if (head.isPresent()) {
            timeoutStartNanos = connections.timer().nanoTime();
        }
    }

    /** Whether a request is in progress, or the end of its response is still to be flushed. */
    boolean isBusy() {
        return responding || unflushedResponses > 0 || isReceiving();
    }

    ConnectionMeter meter() {
        return meter;
    }

    @Override
    public boolean isReadingBody() {
        return head.isPresent()
                && !responding
                && head.filter(HttpUtil::isContentLengthSet).isPresent();
    }

    @Override
    public long bodyBytes() {
        return body.map(RequestBody::reservedBytes).orElse(0);
    }

    @Override
    public Activity activity() {
        if (!context.channel().isWritable() || isReceiving() || !pipelined.isEmpty()) {
            return Activity.STALLING;
        }
        return responding ? Activity.SERVED : Activity.IDLE;
    }

    /** Closes the connection without an answer, which frees its memory at once; the request has not been sent anywhere. */
    @Override
    public void evict(EvictionReason _reason) {
        Optional<CallerListener> current = listener;
        abort();
        current.ifPresent(CallerListener::disconnected);
    }

    private boolean isReceiving() {
        return head.isPresent() || readingHead;
    }

    void closeIfIdle() {
        if (!isBusy() && !closing) {
            closing = true;
            context.close();
        }
    }

    void refuseIfWaiting() {
        listener.ifPresent(CallerListener::refuseIfWaiting);
    }

    /** Ends the request in progress, or refuses the one that is being received. */
    void terminate() {
        listener.ifPresent(CallerListener::terminate);
        if (isReceiving() && !closing) {
            reject(ErrorKind.ENTRY_DRAINING, "this instance is about to exit");
        }
    }

    /** Rejects the request, or closes the connection, if the header or idle timeout has passed. */
    void enforceTimeouts(long nowNanos) {
        meter.update();
        if (backpressure.isUnread(connections.limits().idleTimeout(), nowNanos)) {
            context.close();
        }
        if (responding || closing) {
            return;
        }
        Duration elapsed = Duration.ofNanos(nowNanos - timeoutStartNanos);
        Duration headerTimeout = connections.limits().headerTimeout();
        if (isReceiving() && elapsed.compareTo(headerTimeout) > 0) {
            reject(
                    ErrorKind.CALLER_TOO_SLOW,
                    "the request was not received within " + headerTimeout.toMillis() + " ms");
        } else if (!isReceiving() && elapsed.compareTo(connections.limits().idleTimeout()) > 0) {
            abort();
        }
    }

    void write(HttpObject message) {
        if (message instanceof HttpMessage responseHead) {
            setConnectionHeader(responseHead);
        }
        context.writeAndFlush(message);
        backpressure.update(context.channel(), listener);
    }

    /** Writes the end of a response; the connection then reads the next request, or closes. */
    void writeLast(HttpObject message) {
        if (message instanceof HttpMessage responseHead) {
            setConnectionHeader(responseHead);
        }
        listener = Optional.empty();
        responding = false;
        releaseBody();
        backpressure.responseEnded();
        timeoutStartNanos = connections.timer().nanoTime();
        unflushedResponses++;
        ChannelFuture written = context.writeAndFlush(message);
        written.addListener(_done -> unflushedResponses--);
        if (pipelined.isEmpty()) {
            meter.requestEnded();
        }
        if (closing) {
            written.addListener(_done -> closeAfterLinger());
        } else if (!handlingRequest) {
            readPipelined();
        }
    }

    void abort() {
        listener = Optional.empty();
        releaseBody();
        closing = true;
        context.close();
    }

    private void setConnectionHeader(HttpMessage message) {
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
        while (!responding
                && !closing
                && !pipelined.isEmpty()
                && context.channel().isWritable()) {
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
                startRequest(request);
            }
            if (message instanceof HttpContent content && head.isPresent()) {
                appendBody(content.content());
            }
            if (message instanceof LastHttpContent end && head.isPresent()) {
                connections.reader().findDefect(end).ifPresentOrElse(this::rejectMalformed, this::completeRequest);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** The earliest moment at which bytes may have arrived that are read now. */
    private long earliestArrivalNanos() {
        return connections.timer().nanoTime() - connections.monitor().lag().toNanos();
    }

    private void startRequest(HttpRequest request) {
        timeoutStartNanos = connections.timer().nanoTime();
        arrivedAtNanos = connectedAtNanos.orElseGet(this::earliestArrivalNanos);
        head = Optional.of(request);
        Optional<String> defect = connections.reader().findDefect(request);
        if (defect.isPresent()) {
            rejectMalformed(defect.get());
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > connections.limits().maximumBodyBytes()) {
            rejectTooLarge();
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        meter.headRead();
        body = Optional.of(new RequestBody(connections.bodyMemory(), (int)
                HttpUtil.getContentLength(request, (long) connections.limits().maximumBodyBytes())));
    }

    private void appendBody(ByteBuf bytes) {
        RequestBody current = body.orElseThrow();
        if (bytes.isReadable()) {
            meter.bodyPartRead();
        }
        if (current.length() + bytes.readableBytes() > connections.limits().maximumBodyBytes()) {
            rejectTooLarge();
        } else if (!current.tryAppend(bytes)) {
            reject(ErrorKind.SHED, "the memory for request bodies is exhausted");
        }
    }

    private void completeRequest() {
        HttpRequest request = head.orElseThrow();
        head = Optional.empty();
        responding = true;
        if (!HttpUtil.isKeepAlive(request)) {
            closing = true;
        }
        CallerRequest callerRequest =
                connections.reader().read(request, body.orElseThrow().content(), arrivedAtNanos);
        closing = closing || connections.isDraining();
        // A request that is answered at once is followed by the next one only after this method has ended.
        handlingRequest = true;
        CallerListener requestListener =
                connections.handler().handle(callerRequest, new CallerExchange(this, isHead(request)));
        handlingRequest = false;
        if (responding) {
            listener = Optional.of(requestListener);
        }
    }

    private void releaseBody() {
        body.ifPresent(RequestBody::release);
        body = Optional.empty();
    }

    private void rejectUndecodable(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            closing = true;
            writeLast(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE));
        } else {
            rejectMalformed("the request is not valid HTTP");
        }
    }

    private void rejectMalformed(String defect) {
        LOGGER.info(LogLine.of("request-malformed").with("cause", defect));
        reject(ErrorKind.MALFORMED_REQUEST, defect);
    }

    private void rejectTooLarge() {
        reject(ErrorKind.BODY_TOO_LARGE, "the limit is " + connections.limits().maximumBodyBytes() + " bytes");
    }

    private void reject(ErrorKind kind, String detail) {
        boolean withoutBody = head.filter(CallerConnection::isHead).isPresent();
        head = Optional.empty();
        readingHead = false;
        closing = true;
        new CallerExchange(this, withoutBody).fail(Failure.of(kind, detail));
    }

    private static boolean isHead(HttpRequest request) {
        return request.method().equals(HttpMethod.HEAD);
    }
}
