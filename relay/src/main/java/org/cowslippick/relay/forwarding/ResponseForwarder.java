package org.cowslippick.relay.forwarding;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.relay.message.RequestReader;
import org.cowslippick.scheduler.slot.AnswerOutcome;

/**
 * Passes the response to one attempt on to the caller: a stream event by event, any other response when it is complete.
 */
final class ResponseForwarder {

    /** Parts of a stream after which an endpoint has survived the beginning of its answer. */
    private static final int ANSWERED_CHUNKS = 2;

    /** Statuses that state that a request has not run, so that its caller may send it again. */
    private static final ImmutableSet<HttpResponseStatus> NOT_RUN_STATUSES = ImmutableSet.of(
            HttpResponseStatus.REQUEST_TIMEOUT,
            HttpResponseStatus.TOO_MANY_REQUESTS,
            HttpResponseStatus.SERVICE_UNAVAILABLE);

    private static final int MAXIMUM_BUFFERED_RESPONSE_BYTES = 1 << 20;

    private final ForwardingContext context;
    private final ForwardedRequest request;
    private final RequestProgress progress;
    private final Attempt attempt;
    private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
    private final boolean resumes;
    private Optional<HttpResponse> head = Optional.empty();
    private boolean streaming;
    private int chunks;

    ResponseForwarder(ForwardingContext context, ForwardedRequest request, Attempt attempt) {
        this.context = context;
        this.request = request;
        this.progress = request.progress();
        this.attempt = attempt;
        this.resumes = progress.isResponseStarted();
    }

    void start(HttpResponse received) {
        head = Optional.of(received);
        streaming = request.admission().route().kind() == RouteKind.EVENT_STREAM
                && received.status().codeClass() == HttpStatusClass.SUCCESS
                && (!resumes || isSealedStream(received));
    }

    void addBody(ByteBuf bytes) {
        if (!streaming) {
            bufferBody(bytes);
            return;
        }
        byte[] complete = progress.events().add(bytes);
        if (complete.length > 0) {
            forward(complete);
        }
        if (!attempt.isReleased() && progress.events().isEventTooLong()) {
            attempt.failed("an event of the stream exceeds the maximum length");
        }
    }

    void complete() {
        if (streaming) {
            completeStream();
        } else {
            completeBuffered(head.orElseThrow());
        }
    }

    private void bufferBody(ByteBuf bytes) {
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        bufferedBody.writeBytes(copy);
        if (bufferedBody.size() > MAXIMUM_BUFFERED_RESPONSE_BYTES) {
            attempt.failed("the response exceeds " + MAXIMUM_BUFFERED_RESPONSE_BYTES + " bytes");
        }
    }

    private void forward(byte[] complete) {
        if (!progress.isResponseStarted()) {
            HttpResponse received = head.orElseThrow();
            if (!hasSeal(received)) {
                attempt.failed("a successful response without the endpoint's seal");
                return;
            }
            progress.setResponseStarted();
            attempt.recordStreamOrigin();
            request.exchange().startResponse(received.status(), RequestReader.responseHeaders(received.headers()));
        }
        progress.times().partForwarded(context.timer().nanoTime());
        chunks++;
        if (chunks == ANSWERED_CHUNKS) {
            attempt.recordAnswered();
        }
        attempt.partForwarded();
        request.exchange().sendChunk(Unpooled.wrappedBuffer(complete));
    }

    private void completeStream() {
        if (progress.events().hasPartialEvent() || !progress.isResponseStarted()) {
            attempt.connectionLost("the stream ended within an event");
            return;
        }
        if (chunks == 0 && !hasStatedEnd(head.orElseThrow())) {
            attempt.connectionLost("the resumed stream ended without an event");
            return;
        }
        attempt.recordAnswered();
        attempt.release(AnswerOutcome.SOUND);
        request.exchange().endResponse();
        request.finish("answered", head.orElseThrow().status().code(), Optional.empty());
    }

    private void completeBuffered(HttpResponse received) {
        if (isRefusal(received)) {
            attempt.refused(received.status());
            return;
        }
        if (resumes) {
            attempt.failed(
                    "the endpoint responded with " + received.status().code() + " to a request to resume a stream");
            return;
        }
        attempt.recordAnswered();
        boolean isSuccess = received.status().codeClass() == HttpStatusClass.SUCCESS;
        if (isSuccess && !hasSeal(received)) {
            attempt.failed("a successful response without the endpoint's seal");
            return;
        }
        boolean isServerError = received.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        if (isServerError && request.tryAcquireRetryAfterError()) {
            progress.setCause("the endpoint responded with " + received.status().code());
            attempt.release(AnswerOutcome.ERROR_ANSWER);
            request.requestSlot();
            return;
        }
        if (NOT_RUN_STATUSES.contains(received.status())) {
            progress.setCause(
                    "the endpoint responded with " + received.status().code() + ", though it may have run the request");
            attempt.release(AnswerOutcome.ERROR_ANSWER);
            request.failAfterAttempt();
            return;
        }
        progress.times().partForwarded(context.timer().nanoTime());
        attempt.partForwarded();
        attempt.release(isServerError ? AnswerOutcome.ERROR_ANSWER : AnswerOutcome.SOUND);
        request.exchange()
                .respond(
                        received.status(),
                        RequestReader.responseHeaders(received.headers()),
                        Unpooled.wrappedBuffer(bufferedBody.toByteArray()));
        request.finish(
                isSuccess ? "answered" : "endpoint-answered", received.status().code(), Optional.empty());
    }

    private boolean isRefusal(HttpResponse received) {
        return received.headers().contains(context.names().notRun())
                || received.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }

    /** Whether the events of a response may follow those that another endpoint has sent. */
    private boolean isSealedStream(HttpResponse received) {
        return hasSeal(received)
                && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(
                        Optional.ofNullable(HttpUtil.getMimeType(received)).orElse(""));
    }

    private static boolean hasStatedEnd(HttpResponse received) {
        return HttpUtil.isContentLengthSet(received) || HttpUtil.isTransferEncodingChunked(received);
    }

    private boolean hasSeal(HttpResponse received) {
        return received.headers().contains(context.names().seal());
    }
}
