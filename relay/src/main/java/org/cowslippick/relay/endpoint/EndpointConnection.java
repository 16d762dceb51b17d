package org.cowslippick.relay.endpoint;

import com.google.common.net.HostAndPort;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * A connection to an endpoint, without pipelining. Bytes that arrive while no response is pending close the connection,
 * also before they make a whole message; a head that joins two responses fails the request. A response that carries the
 * attempt id of another request is skipped. A response without an attempt id is accepted only for the first request and only
 * if it is a failure, as it may be a late second response to an earlier one.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class EndpointConnection extends ChannelInboundHandlerAdapter {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.endpoint");

    /** Provisional responses, and responses to earlier requests, that may precede the expected one. */
    private static final int MAXIMUM_SKIPPED_RESPONSES = 16;

    /** Requests on one connection, which bounds the ids that it remembers. */
    private static final int MAXIMUM_REQUESTS = 256;

    private static final long MAXIMUM_SKIPPED_BYTES = 1 << 20;

    private final HostAndPort address;
    private final String attemptIdHeader;
    private final ResponseDecoder decoder;
    private final HeadHolder headHolder;
    private final Consumer<EndpointConnection> onReusable;
    private Optional<ResponseListener> listener = Optional.empty();
    private Optional<String> attemptId = Optional.empty();
    private ChannelHandlerContext context;
    private Optional<BodyWriter> bodyWriter = Optional.empty();
    private boolean skippingResponse;
    private int skippedResponses;
    private long skippedBytes;
    private boolean reusable;
    private boolean reused;
    private final Set<String> sentAttemptIds = new HashSet<>();
    private boolean endsWithConnection;
    private String closeCause = "connection closed";
    private Optional<Duration> announcedIdle = Optional.empty();
    private Optional<HoldBack> holdBack = Optional.empty();
    private boolean paused;
    private boolean bytesReceived;

    EndpointConnection(
            HostAndPort address,
            String attemptIdHeader,
            ResponseDecoder decoder,
            HeadHolder headHolder,
            Consumer<EndpointConnection> onReusable) {
        this.address = address;
        this.attemptIdHeader = attemptIdHeader;
        this.decoder = decoder;
        this.headHolder = headHolder;
        this.onReusable = onReusable;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    boolean isOpen() {
        return context.channel().isActive();
    }

    /** How long the connection may idle, as the endpoint has said in its last response; empty if it has not. */
    Optional<Duration> announcedIdle() {
        return announcedIdle;
    }

    /** Whether any byte has arrived since the last request was sent. */
    boolean hasReceivedBytes() {
        return bytesReceived;
    }

    /**
     * Whether the next response can be told from those to earlier requests: an endpoint may write an earlier response once
     * more, which only its attempt id shows.
     */
    boolean canSend(String nextAttemptId) {
        return !sentAttemptIds.contains(nextAttemptId) && sentAttemptIds.size() < MAXIMUM_REQUESTS;
    }

    void send(Dispatch dispatch, ResponseListener responseListener) {
        BodyWriter writer = expectResponse(dispatch, responseListener);
        context.write(dispatch.head());
        writer.write();
        responseListener.requestSent();
    }

    /**
     * Begins a request of which the end of the head, and the body, follow in {@link #sendHeld}. Until then any byte that
     * arrives ends the connection.
     */
    void hold(Dispatch dispatch, HoldBack newHoldBack) {
        holdBack = Optional.of(newHoldBack);
        headHolder.holdNext(written -> {
            if (written.isSuccess()) {
                newHoldBack.firstBytesWritten();
            } else {
                closeAfterFailedWrite(written.cause());
            }
        });
        context.writeAndFlush(dispatch.head());
    }

    /** Sends the rest of the request that {@link #hold} has begun. */
    void sendHeld(Dispatch dispatch, ResponseListener responseListener) {
        holdBack = Optional.empty();
        BodyWriter writer = expectResponse(dispatch, responseListener);
        setReading(!paused);
        headHolder.complete();
        writer.write();
        responseListener.requestSent();
    }

    private BodyWriter expectResponse(Dispatch dispatch, ResponseListener responseListener) {
        listener = Optional.of(responseListener);
        attemptId = Optional.of(dispatch.attemptId());
        sentAttemptIds.add(dispatch.attemptId());
        skippedResponses = 0;
        skippedBytes = 0;
        reusable = false;
        bytesReceived = false;
        decoder.expectResponseTo(dispatch.head().method().equals(HttpMethod.HEAD));
        BodyWriter writer = new BodyWriter(context.channel(), dispatch.body(), this::closeAfterFailedWrite);
        bodyWriter = Optional.of(writer);
        return writer;
    }

    void close() {
        holdBack.ifPresent(HoldBack::cancel);
        listener = Optional.empty();
        context.close();
    }

    boolean isResponsePending() {
        return listener.isPresent();
    }

    /** Handles bytes that arrived while no response was pending. */
    void unexpectedBytesArrived(int count) {
        logUnexpectedBytes(count);
        context.close();
    }

    /** Notes that bytes of a response have arrived, which the decoder reports only when a head is complete. */
    void responseBytesArrived() {
        bytesReceived = true;
    }

    /** Pauses or resumes reading; not during a hold-back, as only reading shows that a connection has ended. */
    void setReading(boolean enabled) {
        paused = !enabled;
        if (holdBack.isEmpty()) {
            context.channel().config().setAutoRead(enabled);
        }
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
    public void channelWritabilityChanged(ChannelHandlerContext _context) {
        if (listener.isPresent()) {
            bodyWriter.ifPresent(BodyWriter::write);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext _context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        holdBack.ifPresent(HoldBack::connectionEnded);
        endRequest(present -> present.connectionLost(closeCause));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.error(LogLine.of("endpoint-connection-failed"), cause);
        }
        closeCause = String.valueOf(cause.getMessage());
        context.close();
    }

    private void closeAfterFailedWrite(Throwable cause) {
        if (isOpen()) {
            closeCause = "the request could not be written: " + cause.getMessage();
            context.close();
        }
    }

    private void read(HttpObject message) {
        Optional<String> defect = ResponseDefects.find(message, attemptIdHeader, reused);
        if (defect.isPresent()) {
            logDefect(defect.get());
            failAndClose("the endpoint sent an invalid response: " + defect.get());
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (skippingResponse) {
            countSkipped(message);
        }
        if (skippedResponses > MAXIMUM_SKIPPED_RESPONSES || skippedBytes > MAXIMUM_SKIPPED_BYTES) {
            failAndClose("the endpoint sent too many responses to other requests");
            return;
        }
        if (message instanceof HttpContent content
                && !skippingResponse
                && content.content().isReadable()) {
            listener.ifPresent(present -> present.bodyReceived(content.content()));
        }
        if (message instanceof LastHttpContent) {
            completeResponse();
        }
    }

    private void countSkipped(HttpObject message) {
        if (message instanceof HttpResponse) {
            skippedResponses++;
        }
        if (message instanceof HttpContent content) {
            skippedBytes += content.content().readableBytes();
        }
    }

    private void readHead(HttpResponse head) {
        String echoed = head.headers().get(attemptIdHeader);
        skippingResponse = head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                || (echoed != null && !attemptId.get().equals(echoed));
        if (skippingResponse) {
            logSkipped(head, echoed);
            return;
        }
        announcedIdle = KeepAliveTimeout.announcedIdle(head);
        endsWithConnection = decoder.endsWithConnection(head);
        reusable = HttpUtil.isKeepAlive(head)
                && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
        listener.ifPresent(present -> present.headReceived(head));
    }

    private void completeResponse() {
        if (skippingResponse) {
            skippingResponse = false;
            return;
        }
        boolean requestFlushed = bodyWriter.filter(BodyWriter::isFlushed).isPresent();
        // The decoder also ends such a response after a reset, even if only a failed write has shown it. An end
        // before the whole request is written is no sign of a whole response either.
        if (endsWithConnection && !(decoder.hasInputEnded() && requestFlushed)) {
            return;
        }
        Optional<ResponseListener> current = listener;
        listener = Optional.empty();
        bodyWriter = Optional.empty();
        int bytesBehind = decoder.undecodedBytes();
        if (bytesBehind > 0) {
            logUnexpectedBytes(bytesBehind);
        }
        if (reusable && requestFlushed && bytesBehind == 0) {
            reused = true;
            setReading(true);
            onReusable.accept(this);
        } else {
            context.close();
        }
        current.ifPresent(ResponseListener::completed);
    }

    private void logUnexpectedBytes(int count) {
        LOGGER.info(line("unexpected-bytes").with("bytes", count));
    }

    private void logSkipped(HttpResponse head, String echoed) {
        if (head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            LOGGER.info(line("response-skipped")
                    .with("received", echoed)
                    .with("status", head.status().code()));
        }
    }

    private void logDefect(String defect) {
        LOGGER.warn(line("response-defect").with("cause", defect));
    }

    /** Begins a line with the connection's endpoint and last request, and how many it has carried. */
    private LogLine line(String event) {
        return LogLine.of(event)
                .with("endpoint", address.toString())
                .with("id", attemptId.orElse(""))
                .with("requests", sentAttemptIds.size());
    }

    private void failAndClose(String cause) {
        endRequest(present -> present.failed(cause));
        context.close();
    }

    private void endRequest(Consumer<ResponseListener> notification) {
        Optional<ResponseListener> current = listener;
        listener = Optional.empty();
        current.ifPresent(notification);
    }
}
