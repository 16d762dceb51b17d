package org.cowslippick.entry.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.timeline.EventKind;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.entry.endpoint.Dispatch;
import org.cowslippick.entry.endpoint.DispatchFault;
import org.cowslippick.entry.endpoint.DispatchListener;
import org.cowslippick.fleet.claim.ClaimRequest;
import org.cowslippick.fleet.claim.ClaimResult;
import org.cowslippick.fleet.claim.StoredAnswer;
import org.cowslippick.fleet.grant.GrantListener;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;
import org.cowslippick.scheduler.pool.Grant;

/**
 * One request at its entry, from the queue to the receipt. All changes go through one atomic state, so that whichever
 * thread ends the request first, the caller hears one ending.
 */
public final class RequestFlow implements GrantListener {

    private final FlowParts parts;
    private final AdmittedRequest request;
    private final AnswerListener listener;
    private final RequestClock clock;
    private final AnswerText answer;
    private final AtomicReference<RequestClaim> claim = new AtomicReference<>(RequestClaim.NONE);
    private final AtomicReference<RequestState> state = new AtomicReference<>(RequestState.WAITING);
    private final Map<Attempt, Dispatch> dispatches = new ConcurrentHashMap<>();
    private final AtomicReference<TimerService.Subscription> deadline = new AtomicReference<>(() -> {});

    RequestFlow(FlowParts parts, AdmittedRequest request, AnswerListener listener) {
        this.parts = parts;
        this.request = request;
        this.listener = listener;
        this.answer = new AnswerText(request);
        this.clock = new RequestClock(parts.timer(), request, parts.self().name());
    }

    /** Claims the identity of the request if need be, and queues it at the owner of its pool. */
    // The future of a claim never completes exceptionally.
    @SuppressWarnings("FutureReturnValueIgnored")
    void start() {
        long left = request.descriptor().deadlineAtNanos() - parts.timer().nanoTime();
        deadline.set(parts.timer().schedule(Duration.ofNanos(Math.max(left, 0)), this::deadlinePassed));
        if (request.claimNeeded()) {
            ClaimRequest wanted =
                    new ClaimRequest(request.idempotencyKey().orElseThrow(), request.id(), request.ticket());
            parts.claims().claim(wanted).thenAccept(this::claimed);
        } else {
            queue();
        }
    }

    private void claimed(ClaimResult result) {
        if (result instanceof ClaimResult.Granted) {
            claimGranted();
        } else if (result instanceof ClaimResult.AlreadyClaimed held
                && held.answer().isPresent()) {
            answerAgain(held.answer().get());
        } else {
            fail(EventKind.REQUEST_FAILED, _before -> ClaimFailures.of(result));
        }
    }

    private void claimGranted() {
        claim.set(RequestClaim.of(parts.claims(), request.id()));
        record(EventKind.REQUEST_CLAIMED, Optional.empty(), "");
        if (state.get().ended()) {
            claim.get().failed(Outcome.NOT_RUN);
        } else {
            queue();
        }
    }

    private void queue() {
        record(EventKind.REQUEST_QUEUED, Optional.empty(), "in pool " + request.pool());
        parts.grants().request(request.pool(), request.descriptor(), this);
        if (state.get().ended()) {
            parts.grants().withdraw(request.pool(), request.id());
        }
    }

    /** Gives the answer of the earlier request with the same identity; nothing runs. */
    private void answerAgain(StoredAnswer stored) {
        if (end(Optional.empty()).ended()) {
            return;
        }
        record(EventKind.REQUEST_ANSWERED, Optional.empty(), "again, from the first answer");
        parts.ended(this);
        AnswerText.replay(request, stored, listener, clock.receipt(Optional.empty(), false));
    }

    public AdmittedRequest request() {
        return request;
    }

    /** The caller cancelled or left. */
    public void cancel() {
        fail(
                EventKind.REQUEST_CANCELLED,
                before -> Failure.of(
                        before.mayHaveRun() ? ErrorKind.CANCELLED_AFTER_DISPATCH : ErrorKind.CANCELLED_BEFORE_DISPATCH,
                        "the caller cancelled request " + request.id()));
    }

    @Override
    public void granted(Grant grant) {
        Attempt attempt = new Attempt(grant.attempt(), grant.endpoint());
        Optional<Endpoint> endpoint = parts.endpoint(grant.endpoint());
        if (endpoint.isEmpty()) {
            report(attempt, DispatchPhase.NOT_SENT, 0, true);
            return;
        }
        RequestState before = state.getAndUpdate(current -> current.granted(attempt));
        if (!before.usable(attempt)) {
            report(attempt, DispatchPhase.CANCELLED, 0, false);
            return;
        }
        if (!claim.get().dispatched()) {
            endAttempt(attempt, DispatchPhase.CANCELLED, 0, false);
            fail(EventKind.REQUEST_FAILED, _before -> ClaimFailures.expired(request.id()));
            return;
        }
        clock.dispatched();
        record(EventKind.REQUEST_DISPATCHED, Optional.of(grant.endpoint()), "attempt " + grant.attempt());
        AttemptListener heard = new AttemptListener(attempt, parts.timer().nanoTime());
        Dispatch dispatch = parts.endpoints().dispatch(endpoint.get(), request.id(), request.call(), heard);
        dispatches.put(attempt, dispatch);
        if (!state.get().running().contains(attempt)) {
            dispatches.remove(attempt);
            dispatch.cancel();
        }
    }

    @Override
    public void refused(Failure failure) {
        if (state.get().running().isEmpty()) {
            fail(EventKind.REQUEST_FAILED, before -> before.started().orElse(failure));
        }
    }

    private void deadlinePassed() {
        fail(
                EventKind.REQUEST_FAILED,
                before -> Failure.of(
                        before.mayHaveRun()
                                ? ErrorKind.DEADLINE_PASSED_AFTER_DISPATCH
                                : ErrorKind.DEADLINE_PASSED_IN_QUEUE,
                        "the deadline of request " + request.id() + " passed"));
    }

    /** Ends the request with the failure that follows from the state which the end found. */
    private void fail(EventKind event, Function<RequestState, Failure> failureAfter) {
        RequestState before = end(Optional.empty());
        if (before.ended()) {
            return;
        }
        Failure failure = failureAfter.apply(before);
        Optional<EndpointName> endpoint = before.winner().map(Attempt::endpoint);
        record(event, endpoint, failure.kind().text());
        Receipt receipt = clock.receipt(endpoint, false);
        claim.get().failed(failure.kind().outcome());
        parts.outcomes().failed(request, failure, receipt);
        parts.ended(this);
        listener.failed(failure, receipt);
    }

    /** Ends the request, gives up what is queued or runs but for the finished attempt, and returns the state before. */
    private RequestState end(Optional<Attempt> finished) {
        RequestState before = state.getAndUpdate(RequestState::end);
        if (!before.ended()) {
            deadline.get().cancel();
            if (before.running().isEmpty()) {
                parts.grants().withdraw(request.pool(), request.id());
            }
            before.running().stream()
                    .filter(attempt -> !finished.equals(Optional.of(attempt)))
                    .forEach(this::cancelAttempt);
        }
        return before;
    }

    private void cancelAttempt(Attempt attempt) {
        Optional.ofNullable(dispatches.remove(attempt)).ifPresent(Dispatch::cancel);
        endAttempt(attempt, DispatchPhase.CANCELLED, 0, false);
    }

    /** Reports the end of an attempt, once however many threads find it ended. */
    private void endAttempt(Attempt attempt, DispatchPhase phase, long timeToFirstTokenNanos, boolean retryWanted) {
        RequestState before = state.getAndUpdate(current -> current.attemptEnded(attempt, Optional.empty()));
        if (before.running().contains(attempt)) {
            report(attempt, phase, timeToFirstTokenNanos, retryWanted);
        }
    }

    private void report(Attempt attempt, DispatchPhase phase, long timeToFirstTokenNanos, boolean retryWanted) {
        parts.grants()
                .report(
                        request.pool(),
                        new DispatchReport(
                                request.id(),
                                attempt.endpoint(),
                                phase,
                                timeToFirstTokenNanos,
                                clock.betweenTokensNanos(),
                                clock.tokens(),
                                retryWanted));
    }

    private RequestState change(UnaryOperator<RequestState> transition) {
        return state.updateAndGet(transition);
    }

    private void record(EventKind kind, Optional<EndpointName> endpoint, String detail) {
        parts.timeline()
                .record(kind, request.id(), endpoint, request.descriptor().organisation(), detail);
    }

    /** Hears one attempt. */
    private final class AttemptListener implements DispatchListener {
        private final Attempt attempt;
        private final long dispatchedAtNanos;
        private volatile long timeToFirstTokenNanos;

        AttemptListener(Attempt attempt, long dispatchedAtNanos) {
            this.attempt = attempt;
            this.dispatchedAtNanos = dispatchedAtNanos;
        }

        @Override
        public void token(int offset, String text) {
            if (timeToFirstTokenNanos == 0) {
                firstToken();
            }
            if (state.get().wonBy(attempt)) {
                clock.token();
                answer.add(text);
                listener.token(offset, text);
            }
        }

        @Override
        public void finished(String body) {
            RequestState won = change(current -> current.progressed(attempt));
            if (!won.wonBy(attempt)) {
                return;
            }
            if (!clock.firstTokenSeen()) {
                clock.token();
                timeToFirstTokenNanos = parts.timer().nanoTime() - dispatchedAtNanos;
            }
            RequestState before = end(Optional.of(attempt));
            if (!before.ended()) {
                dispatches.remove(attempt);
                endAttempt(attempt, DispatchPhase.FINISHED, timeToFirstTokenNanos, false);
                record(EventKind.REQUEST_ANSWERED, Optional.of(attempt.endpoint()), clock.tokens() + " tokens");
                Receipt receipt = clock.receipt(Optional.of(attempt.endpoint()), true);
                claim.get().finished(answer.stored(body));
                parts.outcomes().answered(request, receipt);
                parts.ended(RequestFlow.this);
                listener.finished(body, receipt);
            }
        }

        @Override
        public void notSent(String detail) {
            attemptFailed(DispatchPhase.NOT_SENT, Failure.of(ErrorKind.ENDPOINT_REFUSED, detail), true, false);
        }

        @Override
        public void refused(String detail) {
            attemptFailed(
                    DispatchPhase.REFUSED,
                    Failure.of(ErrorKind.ENDPOINT_REFUSED, detail),
                    rule().allowsRetryAfterRefusal(),
                    false);
        }

        @Override
        public void failed(DispatchFault fault, Failure failure) {
            boolean nothingRelayed = !clock.firstTokenSeen();
            attemptFailed(fault.phase(), failure, rule().allowsRetryAfterStart() && nothingRelayed, true);
        }

        private DispatchRule rule() {
            return request.descriptor().dispatchRule();
        }

        private void firstToken() {
            timeToFirstTokenNanos = parts.timer().nanoTime() - dispatchedAtNanos;
            RequestState won = change(current -> current.progressed(attempt));
            if (won.wonBy(attempt)) {
                record(EventKind.REQUEST_FIRST_TOKEN, Optional.of(attempt.endpoint()), "");
                report(attempt, DispatchPhase.FIRST_TOKEN, timeToFirstTokenNanos, false);
                won.running().stream().filter(other -> !other.equals(attempt)).forEach(RequestFlow.this::cancelAttempt);
            }
        }

        private void attemptFailed(DispatchPhase phase, Failure failure, boolean retryAllowed, boolean mayHaveRun) {
            Optional<Failure> started = mayHaveRun ? Optional.of(failure) : Optional.empty();
            RequestState before = state.getAndUpdate(current -> current.attemptEnded(attempt, started));
            dispatches.remove(attempt);
            if (!before.running().contains(attempt)) {
                return;
            }
            boolean othersRun = before.running().size() > 1;
            boolean retry = (mayHaveRun || claim.get().refused())
                    && retryAllowed
                    && !before.ended()
                    && !before.wonBy(attempt)
                    && !othersRun;
            report(attempt, phase, timeToFirstTokenNanos, retry);
            if (!retry && !othersRun) {
                fail(EventKind.REQUEST_FAILED, found -> found.started().orElse(failure));
            }
        }
    }
}
