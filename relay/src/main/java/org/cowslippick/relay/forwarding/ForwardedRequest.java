package org.cowslippick.relay.forwarding;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.relay.caller.CallerExchange;
import org.cowslippick.relay.caller.CallerListener;
import org.cowslippick.relay.crash.QuarantinedContent;
import org.cowslippick.relay.endpoint.Dispatch;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.relay.slot.SlotListener;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;

/**
 * A request from its arrival to the end of its response. A request that may have run is retried only if its route
 * allows repetition; one that provably did not run may be sent to another endpoint, up to the route's maximum.
 */
final class ForwardedRequest implements CallerListener, SlotListener {

    private static final Duration RETRY_AFTER_REFUSAL = Duration.ofMillis(100);

    /** What nobody knows is hardly learnt later, so that callers are not asked to return soon. */
    private static final Duration RETRY_AFTER_UNKNOWN_ORIGIN = Duration.ofSeconds(10);

    private final ForwardingContext context;
    private final CallerRequest request;
    private final CallerExchange exchange;
    private final Admission admission;
    private final ImmutableList<String> contents;
    private final RequestTerms terms;
    private final RequestProgress progress;
    private Optional<Subscription> expiry = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private Optional<SlotKey> key = Optional.empty();
    private boolean waitingForSlot;
    private boolean finished;

    ForwardedRequest(ForwardingContext context, CallerRequest request, CallerExchange exchange, Admission admission) {
        this.context = context;
        this.request = request;
        this.exchange = exchange;
        this.admission = admission;
        this.contents = request.contents();
        this.terms = new RequestTerms(context, request, admission);
        this.progress = new RequestProgress(request.arrivedAtNanos());
    }

    void start() {
        expiry = Optional.of(context.timer().schedule(Duration.ofNanos(terms.expiresAtNanos() - now()), this::expired));
        if (failIfQuarantined()) {
            return;
        }
        boolean isResumption =
                request.resumption().isPresent() && admission.route().kind() == RouteKind.EVENT_STREAM;
        if (isResumption) {
            context.streams().find(admission.service(), stream().orElseThrow(), this::resume);
        } else {
            requestSlot();
        }
    }

    /** Goes on once it is known which version has begun the stream, unless the request has ended meanwhile. */
    private void resume(Optional<String> version) {
        if (finished) {
            return;
        }
        if (version.isEmpty()) {
            progress.setCause("unknown which software version began the stream");
            fail(ErrorKind.STREAM_ORIGIN_UNKNOWN, RETRY_AFTER_UNKNOWN_ORIGIN);
            return;
        }
        progress.setStreamVersion(version.get());
        requestSlot();
    }

    /** The stream that the request begins or resumes; empty if nobody can resume it. */
    OptionalLong stream() {
        return terms.stream();
    }

    Admission admission() {
        return admission;
    }

    CallerExchange exchange() {
        return exchange;
    }

    /** The contents of the request that may be known to crash endpoints. */
    ImmutableList<String> contents() {
        return contents;
    }

    RequestProgress progress() {
        return progress;
    }

    @Override
    public void disconnected() {
        finish("caller-left", 0, Optional.empty());
    }

    @Override
    public void writabilityChanged(boolean writable) {
        attempt.ifPresent(present -> present.setReading(writable));
    }

    @Override
    public void refuseIfWaiting() {
        if (waitingForSlot) {
            terminate();
        }
    }

    @Override
    public void terminate() {
        progress.setCause("this instance is about to exit");
        fail(ErrorKind.ENTRY_DRAINING, Duration.ZERO);
    }

    @Override
    public void granted(SlotDecision.Granted grant) {
        waitingForSlot = false;
        if (failIfQuarantined()) {
            context.slots().release(grant.request().key(), AnswerOutcome.SOUND);
            return;
        }
        progress.times().granted(now());
        progress.setKeptTokens(grant.keptTokens());
        context.metrics().count(RelayEvent.PROMPT_TOKENS, request.promptTokens());
        context.metrics().count(RelayEvent.PROMPT_TOKENS_KEPT, grant.keptTokens());
        Attempt newAttempt = new Attempt(context, this, grant);
        attempt = Optional.of(newAttempt);
        progress.triedEndpoints().add(grant.endpoint().id());
        newAttempt.setHandle(context.connections()
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
            progress.setCause("endpoints crashed while running requests with " + quarantined.content());
            fail(ErrorKind.QUARANTINED, quarantined.remaining());
        });
        return found.isPresent();
    }

    void requestSlot() {
        SlotKey next = context.slots().nextKey();
        key = Optional.of(next);
        waitingForSlot = true;
        context.slots().request(admission.service(), terms.slotRequest(next, progress), this);
    }

    /** Asks for another slot after an attempt that sent nothing, unless the request has ended. */
    void requestSlotAgain() {
        if (!finished) {
            requestSlot();
        }
    }

    /**
     * Returns what to send now, or asks for another slot if the endpoint has said meanwhile that it wants no request, or
     * ends a request that has become too late while this instance was behind.
     */
    private Optional<Dispatch> dispatchIfStillAllowed(LiveEndpoint endpoint) {
        if (context.slots().isBlocked(endpoint)) {
            progress.triedEndpoints().remove(endpoint.id());
            attempt.ifPresent(present -> present.release(AnswerOutcome.SOUND));
            requestSlot();
            return Optional.empty();
        }
        if (now() - terms.latestSendNanos() < 0 || progress.isResponseStarted()) {
            return Optional.of(terms.dispatch(endpoint, progress, now()));
        }
        progress.setCause("too late when the request could be sent");
        fail(ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_REFUSAL);
        return Optional.empty();
    }

    private void expired() {
        if (progress.isResponseStarted()) {
            exchange.abort();
            finish("timeout-in-answer", 0, Optional.empty());
        } else {
            fail(ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_REFUSAL);
        }
    }

    /** Ends the request after an endpoint's error that is not passed on. */
    void failAfterAttempt() {
        fail(ErrorKind.ENDPOINT_REFUSED, RETRY_AFTER_REFUSAL);
    }

    /**
     * Ends a request without an endpoint's response; if it may have run, the caller is told that the outcome is
     * unknown.
     */
    private void fail(ErrorKind notRunKind, Duration retryAfter) {
        if (progress.isResponseStarted()) {
            exchange.abort();
            finish("broken-in-answer", 0, Optional.empty());
            return;
        }
        boolean mayHaveRun = progress.mayHaveRun();
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

    void finish(String result, int status, Optional<Failure> failure) {
        if (finished) {
            return;
        }
        finished = true;
        expiry.ifPresent(Subscription::cancel);
        if (waitingForSlot) {
            key.ifPresent(context.slots()::withdraw);
        }
        attempt.ifPresent(present -> present.release(AnswerOutcome.SOUND));
        if (!progress.mayHaveRun()) {
            admission.organisation().ifPresent(organisation -> context.quotas()
                    .refund(organisation, admission.quotaCost()));
        }
        RequestTimes times = progress.times();
        context.metrics()
                .recordRequest(times.measurement(
                        result, admission.rank(), admission.route().kind(), now()));
        RequestLog.ended(request, admission, result, status, progress, now());
        failure.ifPresent(exchange::fail);
    }

    private long now() {
        return context.timer().nanoTime();
    }

    /** Retries the request at another endpoint if that is allowed, or fails it. */
    void retryOrFail(ErrorKind notRunKind) {
        attempt = Optional.empty();
        boolean mayRetry = !progress.mayHaveRun() || admission.route().allowsRetryAfterStart();
        boolean mayResume =
                !progress.isResponseStarted() || progress.events().lastId().isPresent();
        boolean hasTimeLeft = terms.expiresAtNanos() - now() > 0;
        boolean isRetried = mayRetry && mayResume && hasEndpointsLeft() && hasTimeLeft;
        if (isRetried && failIfQuarantined()) {
            return;
        }
        if (isRetried && tryAcquireRetryBudget()) {
            requestSlot();
        } else {
            fail(notRunKind, RETRY_AFTER_REFUSAL);
        }
    }

    /** Whether a request that an endpoint answered with an error may be sent to another one. */
    boolean tryAcquireRetryAfterError() {
        return admission.route().allowsRetryAfterStart() && hasEndpointsLeft() && tryAcquireRetryBudget();
    }

    private boolean hasEndpointsLeft() {
        return progress.triedEndpoints().size() < admission.route().maximumEndpoints();
    }

    private boolean tryAcquireRetryBudget() {
        boolean isAcquired = context.retries().tryAcquireRetry(admission.service());
        context.metrics().count(isAcquired ? RelayEvent.RETRY : RelayEvent.RETRY_DENIED);
        return isAcquired;
    }
}
