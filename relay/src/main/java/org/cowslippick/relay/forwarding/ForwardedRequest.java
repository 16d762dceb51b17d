package org.cowslippick.relay.forwarding;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.Route;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.core.routing.RoutedService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.relay.caller.CallerExchange;
import org.cowslippick.relay.caller.CallerListener;
import org.cowslippick.relay.endpoint.ResponseListener;
import org.cowslippick.relay.endpoint.Dispatch;
import org.cowslippick.relay.endpoint.EndpointConnections;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.message.RequestReader;
import org.cowslippick.relay.slot.SlotListener;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotRequest;

/**
 * One request from arrival to the end of its answer. A request that may have run is sent again only if its route says
 * that it may repeat; one that an endpoint proved not to have run may always go to another, within the route's bound.
 */
final class ForwardedRequest implements CallerListener, SlotListener {

    private static final double FIRST_WAIT_SHARE_OF_TARGET = 1.25;
    private static final double LATER_WAIT_SHARE_OF_PATIENCE = 0.5;

    private static final int MAXIMUM_WHOLE_ANSWER_BYTES = 1 << 20;
    private static final Duration RETRY_AFTER_REFUSAL = Duration.ofMillis(100);

    private final ForwardingContext parts;
    private final CallerRequest request;
    private final CallerExchange exchange;
    private final Admission admission;
    private final long expiresAtNanos;
    private final Set<String> sentTo = new HashSet<>();
    private final EventScanner events = new EventScanner();
    private Optional<Subscription> expiry = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private String cause = "";
    private Optional<SlotKey> key = Optional.empty();
    private boolean waiting;
    private boolean mayHaveRun;
    private boolean begun;
    private boolean over;
    private long grantedAtNanos;
    private long lastPartAtNanos;
    private long longestPauseNanos;
    private long firstPartAtNanos;

    ForwardedRequest(ForwardingContext parts, CallerRequest request, CallerExchange exchange, Admission admission) {
        this.parts = parts;
        this.request = request;
        this.exchange = exchange;
        this.admission = admission;
        this.expiresAtNanos =
                request.arrivedAtNanos() + admission.timeout(request).toNanos();
    }

    void start() {
        expiry = Optional.of(parts.timer().after(Duration.ofNanos(expiresAtNanos - now()), this::expired));
        askForSlot();
    }

    @Override
    public void disconnected() {
        finish("caller-left", 0, Optional.empty());
    }

    @Override
    public void writabilityChanged(boolean writable) {
        attempt.ifPresent(present -> present.handle.ifPresent(handle -> handle.reading(writable)));
    }

    @Override
    public void granted(SlotDecision.Granted grant) {
        waiting = false;
        grantedAtNanos = now();
        Attempt started = new Attempt(grant.endpoint(), grant.request().key());
        attempt = Optional.of(started);
        sentTo.add(grant.endpoint().id());
        started.handle = Optional.of(parts.connections().send(grant.endpoint(), dispatch(grant.endpoint()), started));
    }

    @Override
    public void refused(SlotDecision.Refused refusal) {
        waiting = false;
        ErrorKind kind =
                switch (refusal.reason()) {
                    case NO_ENDPOINT -> ErrorKind.NO_ENDPOINT;
                    case QUEUE_TOO_LONG -> ErrorKind.SHED;
                    case EXPIRED -> ErrorKind.DEADLINE_UNREACHABLE;
                };
        giveUp(kind, Duration.ofNanos(refusal.retryAfterNanos()));
    }

    private void askForSlot() {
        SlotKey next = parts.slots().nextKey();
        key = Optional.of(next);
        waiting = true;
        parts.slots().request(admission.service(), slotRequest(next), this);
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
                route.pause().toNanos(),
                parts.routing()
                        .get()
                        .service(admission.service())
                        .map(RoutedService::tokensPerEvent)
                        .orElse(0),
                request.arrivedAtNanos(),
                request.arrivedAtNanos() + route.target().toNanos(),
                waitsUntilNanos(firstWait(route)),
                waitsUntilNanos(laterWait(route)),
                expiresAtNanos,
                ImmutableSet.copyOf(sentTo));
    }

    private long waitsUntilNanos(Duration wait) {
        return Math.min(expiresAtNanos, request.arrivedAtNanos() + wait.toNanos());
    }

    private static Duration firstWait(Route route) {
        return Duration.ofNanos(
                (long) (FIRST_WAIT_SHARE_OF_TARGET * route.target().toNanos()));
    }

    private Duration laterWait(Route route) {
        long patience = route.kind() == RouteKind.EVENT_STREAM
                ? route.eventPatience().toNanos()
                : expiresAtNanos - request.arrivedAtNanos();
        return Duration.ofNanos((long) (LATER_WAIT_SHARE_OF_PATIENCE * patience));
    }

    private Dispatch dispatch(LiveEndpoint endpoint) {
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.target());
        HttpHeaders headers = head.headers();
        headers.add(request.headers());
        if (request.body().isReadable() || hadBody()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        headers.set(
                parts.names().remainingTime(),
                Math.max(1, Duration.ofNanos(expiresAtNanos - now()).toMillis()));
        headers.set(parts.names().expectedEndpoint(), endpoint.id());
        admission
                .organisation()
                .ifPresent(organisation -> headers.set(
                        parts.names().organisation(), organisation.name().value()));
        events.lastId()
                .filter(_id -> begun)
                .ifPresent(id -> headers.set(parts.names().lastEvent(), id));
        return new Dispatch(
                head, request.body(), request.attemptId(), admission.route().mayRepeat());
    }

    private boolean hadBody() {
        return request.method().equals(HttpMethod.POST) || request.method().equals(HttpMethod.PUT);
    }

    private void expired() {
        if (begun) {
            exchange.abort();
            finish("timeout-in-answer", 0, Optional.empty());
        } else {
            giveUp(ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_REFUSAL);
        }
    }

    /** Ends a request without an answer of an endpoint; what may have run is said to be of unknown outcome. */
    private void giveUp(ErrorKind notRunKind, Duration retryAfter) {
        if (begun) {
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

    private void finish(String result, int status, Optional<Failure> answer) {
        if (over) {
            return;
        }
        over = true;
        expiry.ifPresent(Subscription::cancel);
        if (waiting) {
            key.ifPresent(parts.slots()::withdraw);
        }
        attempt.ifPresent(present -> present.release(AnswerOutcome.SOUND));
        if (!mayHaveRun) {
            admission.organisation().ifPresent(organisation -> parts.quotas()
                    .refund(organisation, admission.quotaCost()));
        }
        log(result, status);
        answer.ifPresent(exchange::fail);
    }

    private void log(String result, int status) {
        RequestLog.write(
                request.attemptId(),
                result.equals("answered"),
                LogLine.of("request")
                        .with("id", request.attemptId())
                        .with("result", result)
                        .with("status", status)
                        .with("route", admission.route().name())
                        .with("configuration", admission.version())
                        .with(
                                "organisation",
                                admission
                                        .organisation()
                                        .map(organisation -> organisation.name().value())
                                        .orElse(""))
                        .with("rank", admission.rank())
                        .with("routeRank", admission.route().rank())
                        .with("fingerprint", Long.toHexString(request.fingerprint()))
                        .with("remainingMs", request.remainingMilliseconds().orElse(-1L))
                        .with("targetMs", admission.route().target().toMillis())
                        .with("promptTokens", request.promptTokens())
                        .with("sentTo", String.join(",", sentTo))
                        .with("cause", cause)
                        .with("waitedMs", milliseconds(grantedAtNanos))
                        .with("firstMs", milliseconds(firstPartAtNanos))
                        .with(
                                "longestPauseMs",
                                Duration.ofNanos(longestPauseNanos).toMillis())
                        .with("totalMs", milliseconds(now())));
    }

    private long milliseconds(long atNanos) {
        return atNanos == 0
                ? -1
                : Duration.ofNanos(atNanos - request.arrivedAtNanos()).toMillis();
    }

    private long now() {
        return parts.timer().nanoTime();
    }

    /** Sends the request to another endpoint if it may go there, or gives it up. */
    private void next(ErrorKind notRunKind) {
        attempt = Optional.empty();
        boolean endpointsLeft = sentTo.size() < admission.route().maximumEndpoints();
        boolean allowed = !mayHaveRun || admission.route().mayRepeat();
        boolean timeLeft = expiresAtNanos - now() > 0;
        if (allowed && endpointsLeft && timeLeft && parts.retries().tryAcquireRetry(admission.service())) {
            askForSlot();
        } else {
            giveUp(notRunKind, RETRY_AFTER_REFUSAL);
        }
    }

    /** One dispatch to one endpoint, and the answer to it. */
    private final class Attempt implements ResponseListener {
        private final LiveEndpoint endpoint;
        private final SlotKey slot;
        private Optional<EndpointConnections.Handle> handle = Optional.empty();
        private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
        private Optional<HttpResponse> head = Optional.empty();
        private boolean released;
        private boolean mayHaveRunBefore;
        private boolean streaming;

        Attempt(LiveEndpoint endpoint, SlotKey slot) {
            this.endpoint = endpoint;
            this.slot = slot;
        }

        @Override
        public void requestSent() {
            if (!mayHaveRun && sentTo.size() == 1) {
                parts.retries().recordRequest(admission.service());
            }
            mayHaveRunBefore = mayHaveRun;
            mayHaveRun = true;
        }

        @Override
        public void connectFailed(String why) {
            cause = why;
            sentTo.remove(endpoint.id());
            release(AnswerOutcome.UNREACHABLE);
            if (!over) {
                askForSlot();
            }
        }

        @Override
        public void headReceived(HttpResponse received) {
            head = Optional.of(received);
            streaming = admission.route().kind() == RouteKind.EVENT_STREAM
                    && received.status().codeClass() == HttpStatusClass.SUCCESS;
        }

        @Override
        public void bodyReceived(ByteBuf bytes) {
            if (!streaming) {
                whole(bytes);
                return;
            }
            byte[] complete = events.add(bytes);
            if (complete.length > 0) {
                forward(complete);
            }
        }

        @Override
        public void completed() {
            if (streaming) {
                endStream();
            } else {
                endWhole(head.orElseThrow());
            }
        }

        @Override
        public void failed(String why) {
            cause = why;
            events.dropUnfinished();
            release(AnswerOutcome.BROKEN);
            next(ErrorKind.ENDPOINT_REFUSED);
        }

        /** Frees the slot and cancels what is left of the dispatch. */
        void release(AnswerOutcome outcome) {
            if (released) {
                return;
            }
            released = true;
            handle.ifPresent(EndpointConnections.Handle::cancel);
            handle = Optional.empty();
            parts.slots().release(slot, outcome);
        }

        private void whole(ByteBuf bytes) {
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            whole.writeBytes(copy);
            if (whole.size() > MAXIMUM_WHOLE_ANSWER_BYTES) {
                failed("the answer is over " + MAXIMUM_WHOLE_ANSWER_BYTES + " bytes");
            }
        }

        private void forward(byte[] complete) {
            if (!begun) {
                HttpResponse received = head.orElseThrow();
                if (!sealed(received)) {
                    failed("a success without the endpoint's seal");
                    return;
                }
                begun = true;
                firstPartAtNanos = now();
                exchange.startResponse(received.status(), RequestReader.responseHeaders(received.headers()));
            }
            notePause();
            parts.slots().responseStarted(slot);
            exchange.sendChunk(Unpooled.wrappedBuffer(complete));
        }

        private void notePause() {
            long at = now();
            if (lastPartAtNanos > 0) {
                longestPauseNanos = Math.max(longestPauseNanos, at - lastPartAtNanos);
            }
            lastPartAtNanos = at;
        }

        private void endStream() {
            handle = Optional.empty();
            if (events.inEvent() || !begun) {
                failed("the stream ended within an event");
                return;
            }
            release(AnswerOutcome.SOUND);
            exchange.endResponse();
            finish("answered", head.orElseThrow().status().code(), Optional.empty());
        }

        private void endWhole(HttpResponse received) {
            handle = Optional.empty();
            if (refusedByEndpoint(received)) {
                notRun(received.status());
                return;
            }
            boolean success = received.status().codeClass() == HttpStatusClass.SUCCESS;
            if (success && !sealed(received)) {
                failed("a success without the endpoint's seal");
                return;
            }
            boolean endpointFailed = received.status().codeClass() == HttpStatusClass.SERVER_ERROR;
            if (endpointFailed && begun) {
                failed("the endpoint answered " + received.status().code() + " to a stream that was to go on");
                return;
            }
            if (endpointFailed && mayTryAnother()) {
                cause = "the endpoint answered " + received.status().code();
                release(AnswerOutcome.ERROR_ANSWER);
                askForSlot();
                return;
            }
            firstPartAtNanos = now();
            parts.slots().responseStarted(slot);
            release(endpointFailed ? AnswerOutcome.ERROR_ANSWER : AnswerOutcome.SOUND);
            exchange.respond(
                    received.status(),
                    RequestReader.responseHeaders(received.headers()),
                    Unpooled.wrappedBuffer(whole.toByteArray()));
            finish(success ? "answered" : "endpoint-answered", received.status().code(), Optional.empty());
        }

        private boolean mayTryAnother() {
            return admission.route().mayRepeat()
                    && sentTo.size() < admission.route().maximumEndpoints()
                    && parts.retries().tryAcquireRetry(admission.service());
        }

        private boolean refusedByEndpoint(HttpResponse received) {
            return received.headers().contains(parts.names().notRun())
                    || received.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        }

        private void notRun(HttpResponseStatus status) {
            cause = "the endpoint refused with " + status.code();
            mayHaveRun = mayHaveRunBefore;
            if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
                sentTo.remove(endpoint.id());
                release(AnswerOutcome.UNREACHABLE);
            } else {
                release(AnswerOutcome.NOT_RUN);
            }
            next(ErrorKind.ENDPOINT_REFUSED);
        }

        private boolean sealed(HttpResponse received) {
            return received.headers().contains(parts.names().seal());
        }
    }
}
