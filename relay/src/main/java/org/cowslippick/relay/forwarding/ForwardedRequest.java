package org.cowslippick.relay.forwarding;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Doubles;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.core.routing.Route;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.core.routing.RoutedService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.relay.caller.CallerExchange;
import org.cowslippick.relay.caller.CallerListener;
import org.cowslippick.relay.crash.QuarantinedContent;
import org.cowslippick.relay.endpoint.Dispatch;
import org.cowslippick.relay.endpoint.EndpointConnections;
import org.cowslippick.relay.endpoint.ResponseListener;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.message.RequestReader;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.relay.slot.SlotListener;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.cowslippick.scheduler.slot.EndpointRateLimit;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.jboss.logging.Logger;

/**
 * A request from its arrival to the end of its response. A request that may have run is retried only if its route
 * allows repetition; one that provably did not run may be sent to another endpoint, up to the route's maximum.
 */
final class ForwardedRequest implements CallerListener, SlotListener {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.request");

    /** Queueing time of a first attempt, as a multiple of the target, before the caller is told to retry later. */
    private static final double FIRST_WAIT_PER_TARGET = 1.25;

    /**
     * Queueing time of a caller's retry after a refusal, as a fraction of the time that the caller waits, or of the
     * route's event timeout for a stream.
     */
    private static final double RETRY_WAIT_PER_TIMEOUT = 0.5;

    /** Parts of a stream after which an endpoint has survived the beginning of its answer. */
    private static final int ANSWERED_CHUNKS = 2;

    /** Statuses that state that a request has not run, so that its caller may send it again. */
    private static final ImmutableSet<HttpResponseStatus> NOT_RUN_STATUSES = ImmutableSet.of(
            HttpResponseStatus.REQUEST_TIMEOUT,
            HttpResponseStatus.TOO_MANY_REQUESTS,
            HttpResponseStatus.SERVICE_UNAVAILABLE);

    private static final int MAXIMUM_BUFFERED_RESPONSE_BYTES = 1 << 20;
    private static final Duration RETRY_AFTER_REFUSAL = Duration.ofMillis(100);

    private final ForwardingContext context;
    private final CallerRequest request;
    private final CallerExchange exchange;
    private final Admission admission;
    private final ImmutableList<String> contents;
    private final long expiresAtNanos;
    private final Set<String> triedEndpoints = new HashSet<>();
    private final EventScanner events = new EventScanner();
    private Optional<Subscription> expiry = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private String cause = "";
    private Optional<SlotKey> key = Optional.empty();
    private boolean waitingForSlot;
    private boolean mayHaveRun;
    private boolean responseStarted;
    private boolean finished;
    private final RequestTimes times;

    ForwardedRequest(ForwardingContext context, CallerRequest request, CallerExchange exchange, Admission admission) {
        this.context = context;
        this.request = request;
        this.exchange = exchange;
        this.admission = admission;
        this.contents = request.contents();
        this.times = new RequestTimes(request.arrivedAtNanos());
        this.expiresAtNanos =
                request.arrivedAtNanos() + admission.timeout(request).toNanos();
    }

    void start() {
        expiry = Optional.of(context.timer().schedule(Duration.ofNanos(expiresAtNanos - now()), this::expired));
        if (!failIfQuarantined()) {
            requestSlot();
        }
    }

    @Override
    public void disconnected() {
        finish("caller-left", 0, Optional.empty());
    }

    @Override
    public void writabilityChanged(boolean writable) {
        attempt.ifPresent(present -> present.handle.ifPresent(handle -> handle.setReading(writable)));
    }

    @Override
    public void refuseIfWaiting() {
        if (waitingForSlot) {
            terminate();
        }
    }

    @Override
    public void terminate() {
        cause = "this instance is about to exit";
        fail(ErrorKind.ENTRY_DRAINING, Duration.ZERO);
    }

    @Override
    public void granted(SlotDecision.Granted grant) {
        waitingForSlot = false;
        if (failIfQuarantined()) {
            context.slots().release(grant.request().key(), AnswerOutcome.SOUND);
            return;
        }
        times.granted(now());
        Attempt newAttempt = new Attempt(grant);
        attempt = Optional.of(newAttempt);
        triedEndpoints.add(grant.endpoint().id());
        newAttempt.handle = Optional.of(context.connections()
                .send(
                        grant.endpoint(),
                        request.attemptId(),
                        admission.route().allowsRetryAfterStart(),
                        () -> dispatchIfStillAllowed(grant.endpoint()),
                        newAttempt));
    }

    @Override
    public void refused(SlotDecision.Refused refusal) {
        waitingForSlot = false;
        ErrorKind kind =
                switch (refusal.reason()) {
                    case NO_ENDPOINT -> ErrorKind.NO_ENDPOINT;
                    case QUEUE_TOO_LONG -> ErrorKind.SHED;
                    case EXPIRED -> ErrorKind.DEADLINE_UNREACHABLE;
                };
        fail(kind, Duration.ofNanos(refusal.retryAfterNanos()));
    }

    /** Ends the request if its content became known to crash endpoints since the last check. */
    private boolean failIfQuarantined() {
        Optional<QuarantinedContent> found = context.crashes().quarantined(admission.service(), contents);
        found.ifPresent(quarantined -> {
            cause = "endpoints crashed while running requests with " + quarantined.content();
            fail(ErrorKind.QUARANTINED, quarantined.remaining());
        });
        return found.isPresent();
    }

    private void requestSlot() {
        SlotKey next = context.slots().nextKey();
        key = Optional.of(next);
        waitingForSlot = true;
        context.slots().request(admission.service(), slotRequest(next), this);
    }

    private SlotRequest slotRequest(SlotKey next) {
        Route route = admission.route();
        return new SlotRequest(
                next,
                admission.rank(),
                route.rank(),
                request.fingerprint(),
                request.promptTokens(),
                request.answerTokens(),
                false,
                route.maximumPause().toNanos(),
                context.routing()
                        .get()
                        .service(admission.service())
                        .map(RoutedService::tokensPerEvent)
                        .orElse(0),
                request.arrivedAtNanos(),
                request.arrivedAtNanos() + route.target().toNanos(),
                queueDeadlineNanos(maximumFirstWait(route)),
                queueDeadlineNanos(maximumRetryWait(route)),
                expiresAtNanos,
                ImmutableSet.copyOf(triedEndpoints),
                admission.organisation().map(OrganisationAccess::name),
                ImmutableSet.of());
    }

    private long queueDeadlineNanos(Duration wait) {
        return Math.min(expiresAtNanos, request.arrivedAtNanos() + wait.toNanos());
    }

    private static Duration maximumFirstWait(Route route) {
        return Duration.ofNanos((long) (FIRST_WAIT_PER_TARGET * route.target().toNanos()));
    }

    private Duration maximumRetryWait(Route route) {
        long callerTimeoutNanos = route.kind() == RouteKind.EVENT_STREAM
                ? route.eventTimeout().toNanos()
                : expiresAtNanos - request.arrivedAtNanos();
        return Duration.ofNanos((long) (RETRY_WAIT_PER_TIMEOUT * callerTimeoutNanos));
    }

    /**
     * Returns what to send now, or asks for another slot if the endpoint has said meanwhile that it wants no request, or
     * ends a request that has become too late while this instance was behind.
     */
    private Optional<Dispatch> dispatchIfStillAllowed(LiveEndpoint endpoint) {
        if (context.slots().isBlocked(endpoint)) {
            triedEndpoints.remove(endpoint.id());
            attempt.ifPresent(present -> present.release(AnswerOutcome.SOUND));
            requestSlot();
            return Optional.empty();
        }
        if (now() - queueDeadlineNanos(maximumRetryWait(admission.route())) < 0 || responseStarted) {
            return Optional.of(dispatch(endpoint));
        }
        cause = "too late when the request could be sent";
        fail(ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_REFUSAL);
        return Optional.empty();
    }

    private Dispatch dispatch(LiveEndpoint endpoint) {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.target());
        HttpHeaders headers = head.headers();
        headers.add(request.headers());
        if (request.body().isReadable() || expectsBody()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        headers.set(
                context.names().remainingTime(),
                Math.max(1, Duration.ofNanos(expiresAtNanos - now()).toMillis()));
        headers.set(context.names().expectedEndpoint(), endpoint.id());
        admission
                .organisation()
                .ifPresent(organisation -> headers.set(
                        context.names().organisation(), organisation.name().value()));
        events.lastId()
                .filter(_id -> responseStarted)
                .ifPresent(id -> headers.set(context.names().lastEvent(), id));
        return new Dispatch(head, request.body(), request.attemptId());
    }

    private boolean expectsBody() {
        return request.method().equals(HttpMethod.POST) || request.method().equals(HttpMethod.PUT);
    }

    private void expired() {
        if (responseStarted) {
            exchange.abort();
            finish("timeout-in-answer", 0, Optional.empty());
        } else {
            fail(ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_REFUSAL);
        }
    }

    /**
     * Ends a request without an endpoint's response; if it may have run, the caller is told that the outcome is
     * unknown.
     */
    private void fail(ErrorKind notRunKind, Duration retryAfter) {
        if (responseStarted) {
            exchange.abort();
            finish("broken-in-answer", 0, Optional.empty());
            return;
        }
        ErrorKind kind = mayHaveRun ? unknownOutcome(notRunKind) : notRunKind;
        Failure failure = mayHaveRun
                ? Failure.of(kind, "the outcome is unknown")
                : Failure.retryAfter(kind, "the request did not run", retryAfter);
        finish(kind.text(), kind.httpStatus(), Optional.of(failure));
    }

    private static ErrorKind unknownOutcome(ErrorKind notRunKind) {
        return notRunKind == ErrorKind.DEADLINE_UNREACHABLE
                ? ErrorKind.DEADLINE_PASSED_AFTER_DISPATCH
                : ErrorKind.ENDPOINT_FAILED;
    }

    private void finish(String result, int status, Optional<Failure> failure) {
        if (finished) {
            return;
        }
        finished = true;
        expiry.ifPresent(Subscription::cancel);
        if (waitingForSlot) {
            key.ifPresent(context.slots()::withdraw);
        }
        attempt.ifPresent(present -> present.release(AnswerOutcome.SOUND));
        if (!mayHaveRun) {
            admission.organisation().ifPresent(organisation -> context.quotas()
                    .refund(organisation, admission.quotaCost()));
        }
        context.metrics()
                .recordRequest(times.measurement(
                        result, admission.rank(), admission.route().kind(), now()));
        RequestLog.ended(request, admission, result, status, triedEndpoints, cause, times, now());
        failure.ifPresent(exchange::fail);
    }

    private long now() {
        return context.timer().nanoTime();
    }

    /** Retries the request at another endpoint if that is allowed, or fails it. */
    private void retryOrFail(ErrorKind notRunKind) {
        attempt = Optional.empty();
        boolean hasEndpointsLeft = triedEndpoints.size() < admission.route().maximumEndpoints();
        boolean mayRetry = !mayHaveRun || admission.route().allowsRetryAfterStart();
        boolean mayResume = !responseStarted || events.lastId().isPresent();
        boolean hasTimeLeft = expiresAtNanos - now() > 0;
        boolean isRetried = mayRetry && mayResume && hasEndpointsLeft && hasTimeLeft;
        if (isRetried && failIfQuarantined()) {
            return;
        }
        if (isRetried && tryAcquireRetryBudget()) {
            requestSlot();
        } else {
            fail(notRunKind, RETRY_AFTER_REFUSAL);
        }
    }

    private boolean tryAcquireRetryBudget() {
        boolean isAcquired = context.retries().tryAcquireRetry(admission.service());
        context.metrics().count(isAcquired ? RelayEvent.RETRY : RelayEvent.RETRY_DENIED);
        return isAcquired;
    }

    /** One dispatch to one endpoint, and its response. */
    private final class Attempt implements ResponseListener {
        private final LiveEndpoint endpoint;
        private final SlotKey slot;
        private final boolean grantedUnderRateLimit;
        private Optional<EndpointConnections.Handle> handle = Optional.empty();
        private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
        private Optional<HttpResponse> head = Optional.empty();
        private boolean released;
        private boolean mayHaveRunEarlier;
        private boolean streaming;
        private final boolean resumes = responseStarted;
        private int chunks;
        private boolean answered;

        Attempt(SlotDecision.Granted grant) {
            this.endpoint = grant.endpoint();
            this.slot = grant.request().key();
            this.grantedUnderRateLimit =
                    grant.rateLimit().filter(EndpointRateLimit::isLimited).isPresent();
        }

        @Override
        public void requestSent() {
            if (!mayHaveRun && triedEndpoints.size() == 1) {
                context.retries().recordRequest(admission.service());
            }
            mayHaveRunEarlier = mayHaveRun;
            mayHaveRun = true;
        }

        @Override
        public void connectFailed(String reason) {
            cause = reason;
            context.metrics().count(RelayEvent.CONNECT_FAILED);
            triedEndpoints.remove(endpoint.id());
            release(AnswerOutcome.UNREACHABLE);
            if (!finished) {
                requestSlot();
            }
        }

        @Override
        public void headReceived(HttpResponse received) {
            head = Optional.of(received);
            reportRateLimit(received);
            EndpointNoticeReader.read(received, context.names(), now()).ifPresent(this::reportNotice);
            context.engineLoads()
                    .read(endpoint, received, percent -> context.slots().reportMachineLoad(slot, percent));
            streaming = admission.route().kind() == RouteKind.EVENT_STREAM
                    && received.status().codeClass() == HttpStatusClass.SUCCESS
                    && (!resumes || isSealedStream(received));
        }

        /** Whether the events of a response may follow those that another endpoint has sent. */
        private boolean isSealedStream(HttpResponse received) {
            return hasSeal(received)
                    && HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(
                            Optional.ofNullable(HttpUtil.getMimeType(received)).orElse(""));
        }

        private void reportNotice(EndpointNotice notice) {
            context.metrics().count(notice.isLeaving() ? RelayEvent.ENDPOINT_LEAVING : RelayEvent.ENDPOINT_PAUSE);
            context.slots().reportNotice(endpoint, notice);
        }

        /** A response without a limit ends one only if the limit was known before the request was sent. */
        private void reportRateLimit(HttpResponse received) {
            String text = received.headers().get(context.names().rateLimit());
            if (text == null) {
                if (grantedUnderRateLimit) {
                    context.slots().reportRateLimit(endpoint, Optional.empty());
                }
                return;
            }
            Optional<Double> named = Optional.ofNullable(Doubles.tryParse(text.strip()))
                    .filter(rate -> Double.isFinite(rate) && rate >= 0);
            if (named.isPresent()) {
                context.slots().reportRateLimit(endpoint, named);
            } else {
                LOGGER.warn(LogLine.of("rate-limit-unreadable")
                        .with("endpoint", endpoint.id())
                        .with("text", text));
            }
        }

        @Override
        public void bodyReceived(ByteBuf bytes) {
            if (!streaming) {
                bufferBody(bytes);
                return;
            }
            byte[] complete = events.add(bytes);
            if (complete.length > 0) {
                forward(complete);
            }
            if (!released && events.isEventTooLong()) {
                failed("an event of the stream exceeds the maximum length");
            }
        }

        @Override
        public void completed() {
            if (streaming) {
                completeStream();
            } else {
                completeBuffered(head.orElseThrow());
            }
        }

        @Override
        public void connectionLost(String reason) {
            context.metrics().count(RelayEvent.CONNECTION_LOST);
            if (!answered) {
                context.crashes().requestBroken(endpoint, contents);
            }
            failed(reason);
        }

        @Override
        public void failed(String reason) {
            cause = reason;
            events.discardPartialEvent();
            release(AnswerOutcome.BROKEN);
            retryOrFail(ErrorKind.ENDPOINT_REFUSED);
        }

        /** Releases the slot, and cancels the dispatch if it is still in progress. */
        void release(AnswerOutcome outcome) {
            if (released) {
                return;
            }
            released = true;
            handle.ifPresent(EndpointConnections.Handle::cancel);
            handle = Optional.empty();
            context.slots().release(slot, outcome);
        }

        private void bufferBody(ByteBuf bytes) {
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            bufferedBody.writeBytes(copy);
            if (bufferedBody.size() > MAXIMUM_BUFFERED_RESPONSE_BYTES) {
                failed("the response exceeds " + MAXIMUM_BUFFERED_RESPONSE_BYTES + " bytes");
            }
        }

        private void forward(byte[] complete) {
            if (!responseStarted) {
                HttpResponse received = head.orElseThrow();
                if (!hasSeal(received)) {
                    failed("a successful response without the endpoint's seal");
                    return;
                }
                responseStarted = true;
                exchange.startResponse(received.status(), RequestReader.responseHeaders(received.headers()));
            }
            times.partForwarded(now());
            chunks++;
            if (chunks == ANSWERED_CHUNKS) {
                recordAnswered();
            }
            context.slots().responseStarted(slot);
            exchange.sendChunk(Unpooled.wrappedBuffer(complete));
        }

        /** Records that the endpoint did not crash when it began to answer. */
        private void recordAnswered() {
            if (!answered) {
                answered = true;
                context.crashes().answered(endpoint.service(), contents);
            }
        }

        private void completeStream() {
            handle = Optional.empty();
            if (events.hasPartialEvent() || !responseStarted) {
                connectionLost("the stream ended within an event");
                return;
            }
            if (chunks == 0 && !hasStatedEnd(head.orElseThrow())) {
                connectionLost("the resumed stream ended without an event");
                return;
            }
            recordAnswered();
            release(AnswerOutcome.SOUND);
            exchange.endResponse();
            finish("answered", head.orElseThrow().status().code(), Optional.empty());
        }

        private void completeBuffered(HttpResponse received) {
            handle = Optional.empty();
            if (isRefusal(received)) {
                handleRefusal(received.status());
                return;
            }
            if (resumes) {
                failed("the endpoint responded with " + received.status().code() + " to a request to resume a stream");
                return;
            }
            recordAnswered();
            boolean isSuccess = received.status().codeClass() == HttpStatusClass.SUCCESS;
            if (isSuccess && !hasSeal(received)) {
                failed("a successful response without the endpoint's seal");
                return;
            }
            boolean isServerError = received.status().codeClass() == HttpStatusClass.SERVER_ERROR;
            if (isServerError && tryAcquireRetry()) {
                cause = "the endpoint responded with " + received.status().code();
                release(AnswerOutcome.ERROR_ANSWER);
                requestSlot();
                return;
            }
            if (NOT_RUN_STATUSES.contains(received.status())) {
                cause = "the endpoint responded with " + received.status().code()
                        + ", though it may have run the request";
                release(AnswerOutcome.ERROR_ANSWER);
                fail(ErrorKind.ENDPOINT_REFUSED, RETRY_AFTER_REFUSAL);
                return;
            }
            times.partForwarded(now());
            context.slots().responseStarted(slot);
            release(isServerError ? AnswerOutcome.ERROR_ANSWER : AnswerOutcome.SOUND);
            exchange.respond(
                    received.status(),
                    RequestReader.responseHeaders(received.headers()),
                    Unpooled.wrappedBuffer(bufferedBody.toByteArray()));
            finish(
                    isSuccess ? "answered" : "endpoint-answered",
                    received.status().code(),
                    Optional.empty());
        }

        private boolean tryAcquireRetry() {
            return admission.route().allowsRetryAfterStart()
                    && triedEndpoints.size() < admission.route().maximumEndpoints()
                    && tryAcquireRetryBudget();
        }

        private boolean isRefusal(HttpResponse received) {
            return received.headers().contains(context.names().notRun())
                    || received.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        }

        private void handleRefusal(HttpResponseStatus status) {
            context.metrics().count(RelayEvent.ENDPOINT_REFUSED);
            cause = "the endpoint refused the request with " + status.code();
            mayHaveRun = mayHaveRunEarlier;
            if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
                triedEndpoints.remove(endpoint.id());
                release(AnswerOutcome.UNREACHABLE);
            } else {
                release(AnswerOutcome.NOT_RUN);
            }
            retryOrFail(ErrorKind.ENDPOINT_REFUSED);
        }

        private boolean hasStatedEnd(HttpResponse received) {
            return HttpUtil.isContentLengthSet(received) || HttpUtil.isTransferEncodingChunked(received);
        }

        private boolean hasSeal(HttpResponse received) {
            return received.headers().contains(context.names().seal());
        }
    }
}
