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
 * A request in flight at its entry, from the queue to the receipt. All transitions go through one atomic state, so that
 * the listener is told the end of the request exactly once, whichever thread ends it.
 */
public final class InFlightRequest implements GrantListener {

    private final RequestContext context;
    private final AdmittedRequest request;
    private final AnswerListener listener;
    private final RequestTiming timing;
    private final StoredAnswerBuilder answer;
    private final AtomicReference<RequestClaim> claim = new AtomicReference<>(RequestClaim.NONE);
    private final AtomicReference<RequestState> state = new AtomicReference<>(RequestState.WAITING);
    private final Map<Attempt, Dispatch> dispatches = new ConcurrentHashMap<>();
    private final AtomicReference<TimerService.Subscription> deadline = new AtomicReference<>(() -> {});

    InFlightRequest(RequestContext context, AdmittedRequest request, AnswerListener listener) {
        this.context = context;
        this.request = request;
        this.listener = listener;
        this.answer = new StoredAnswerBuilder(request);
        this.timing = new RequestTiming(context.timer(), request, context.self().name());
    }

    /** Claims the identity of the request if required, and queues the request at the owner of its pool. */
    // The future of a claim never completes exceptionally.
    @SuppressWarnings("FutureReturnValueIgnored")
    void start() {
        long remainingNanos =
                request.descriptor().deadlineAtNanos() - context.timer().nanoTime();
        deadline.set(context.timer().schedule(Duration.ofNanos(Math.max(remainingNanos, 0)), this::deadlinePassed));
        if (request.requiresClaim()) {
            ClaimRequest claimRequest =
                    new ClaimRequest(request.idempotencyKey().orElseThrow(), request.id(), request.ticket());
            context.claims().claim(claimRequest).thenAccept(this::handleClaimResult);
        } else {
            enqueue();
        }
    }

    private void handleClaimResult(ClaimResult result) {
        if (result instanceof ClaimResult.Granted) {
            claimGranted();
        } else if (result instanceof ClaimResult.AlreadyClaimed earlier
                && earlier.answer().isPresent()) {
            replayAnswer(earlier.answer().get());
        } else {
            fail(EventKind.REQUEST_FAILED, _before -> ClaimFailures.of(result));
        }
    }

    private void claimGranted() {
        claim.set(RequestClaim.of(context.claims(), request.id()));
        record(EventKind.REQUEST_CLAIMED, Optional.empty(), "");
        if (state.get().hasEnded()) {
            claim.get().releaseIfNotRun(Outcome.NOT_RUN);
        } else {
            enqueue();
        }
    }

    private void enqueue() {
        record(EventKind.REQUEST_QUEUED, Optional.empty(), "in pool " + request.pool());
        context.grants().request(request.pool(), request.descriptor(), this);
        if (state.get().hasEnded()) {
            context.grants().withdraw(request.pool(), request.id());
        }
    }

    /** Replays the stored answer of an earlier request with the same identity; nothing runs. */
    private void replayAnswer(StoredAnswer stored) {
        if (end(Optional.empty()).hasEnded()) {
            return;
        }
        record(EventKind.REQUEST_ANSWERED, Optional.empty(), "replayed from the stored answer");
        context.requestEnded(this);
        StoredAnswerBuilder.replay(request, stored, listener, timing.receipt(Optional.empty(), false));
    }

    public AdmittedRequest request() {
        return request;
    }

    /** Cancels the request because its caller cancelled it or disconnected. */
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
        Optional<Endpoint> endpoint = context.findEndpoint(grant.endpoint());
        if (endpoint.isEmpty()) {
            report(attempt, DispatchPhase.NOT_SENT, 0, true);
            return;
        }
        RequestState before = state.getAndUpdate(current -> current.withGrant(attempt));
        if (!before.canUse(attempt)) {
            report(attempt, DispatchPhase.CANCELLED, 0, false);
            return;
        }
        if (!claim.get().markDispatched()) {
            endAttempt(attempt, DispatchPhase.CANCELLED, 0, false);
            fail(EventKind.REQUEST_FAILED, _before -> ClaimFailures.expired(request.id()));
            return;
        }
        timing.recordDispatch();
        record(EventKind.REQUEST_DISPATCHED, Optional.of(grant.endpoint()), "attempt " + grant.attempt());
        AttemptListener attemptListener =
                new AttemptListener(attempt, context.timer().nanoTime());
        Dispatch dispatch = context.endpoints().dispatch(endpoint.get(), request.id(), request.call(), attemptListener);
        dispatches.put(attempt, dispatch);
        if (!state.get().running().contains(attempt)) {
            dispatches.remove(attempt);
            dispatch.cancel();
        }
    }

    @Override
    public void refused(Failure failure) {
        if (state.get().running().isEmpty()) {
            fail(EventKind.REQUEST_FAILED, before -> before.possibleRunFailure().orElse(failure));
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

    /** Ends the request with a failure, which the function derives from the state before the end. */
    private void fail(EventKind event, Function<RequestState, Failure> failureFrom) {
        RequestState before = end(Optional.empty());
        if (before.hasEnded()) {
            return;
        }
        Failure failure = failureFrom.apply(before);
        Optional<EndpointName> endpoint = before.winner().map(Attempt::endpoint);
        record(event, endpoint, failure.kind().text());
        Receipt receipt = timing.receipt(endpoint, false);
        claim.get().releaseIfNotRun(failure.kind().outcome());
        context.outcomes().recordFailure(request, failure, receipt);
        context.requestEnded(this);
        listener.failed(failure, receipt);
    }

    /** Ends the request, cancels its other attempts and its place in the queue, and returns the previous state. */
    private RequestState end(Optional<Attempt> finished) {
        RequestState before = state.getAndUpdate(RequestState::asEnded);
        if (!before.hasEnded()) {
            deadline.get().cancel();
            if (before.running().isEmpty()) {
                context.grants().withdraw(request.pool(), request.id());
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

    /** Reports the end of an attempt, exactly once even if several threads detect it. */
    private void endAttempt(Attempt attempt, DispatchPhase phase, long timeToFirstTokenNanos, boolean retryWanted) {
        RequestState before = state.getAndUpdate(current -> current.withoutAttempt(attempt, Optional.empty()));
        if (before.running().contains(attempt)) {
            report(attempt, phase, timeToFirstTokenNanos, retryWanted);
        }
    }

    private void report(Attempt attempt, DispatchPhase phase, long timeToFirstTokenNanos, boolean retryWanted) {
        context.grants()
                .report(
                        request.pool(),
                        new DispatchReport(
                                request.id(),
                                attempt.endpoint(),
                                phase,
                                timeToFirstTokenNanos,
                                timing.betweenTokensNanos(),
                                timing.tokenCount(),
                                retryWanted));
    }

    private RequestState updateState(UnaryOperator<RequestState> transition) {
        return state.updateAndGet(transition);
    }

    private void record(EventKind kind, Optional<EndpointName> endpoint, String detail) {
        context.timeline()
                .record(kind, request.id(), endpoint, request.descriptor().organisation(), detail);
    }

    /** Receives the progress of one attempt. */
    private final class AttemptListener implements DispatchListener {
        private final Attempt attempt;
        private final long dispatchedAtNanos;
        private volatile long timeToFirstTokenNanos;

        AttemptListener(Attempt attempt, long dispatchedAtNanos) {
            this.attempt = attempt;
            this.dispatchedAtNanos = dispatchedAtNanos;
        }

        @Override
        public void tokenReceived(int offset, String text) {
            if (timeToFirstTokenNanos == 0) {
                recordFirstToken();
            }
            if (state.get().isWonBy(attempt)) {
                timing.recordToken();
                answer.append(text);
                listener.tokenReceived(offset, text);
            }
        }

        @Override
        public void completed(String body) {
            RequestState updated = updateState(current -> current.withWinner(attempt));
            if (!updated.isWonBy(attempt)) {
                return;
            }
            if (!timing.hasFirstToken()) {
                timing.recordToken();
                timeToFirstTokenNanos = context.timer().nanoTime() - dispatchedAtNanos;
            }
            RequestState before = end(Optional.of(attempt));
            if (!before.hasEnded()) {
                dispatches.remove(attempt);
                endAttempt(attempt, DispatchPhase.FINISHED, timeToFirstTokenNanos, false);
                record(EventKind.REQUEST_ANSWERED, Optional.of(attempt.endpoint()), timing.tokenCount() + " tokens");
                Receipt receipt = timing.receipt(Optional.of(attempt.endpoint()), true);
                claim.get().markFinished(answer.build(body));
                context.outcomes().recordAnswer(request, receipt);
                context.requestEnded(InFlightRequest.this);
                listener.completed(body, receipt);
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
                    dispatchRule().allowsRetryAfterRefusal(),
                    false);
        }

        @Override
        public void failed(DispatchFault fault, Failure failure) {
            boolean noTokenRelayed = !timing.hasFirstToken();
            attemptFailed(fault.phase(), failure, dispatchRule().allowsRetryAfterStart() && noTokenRelayed, true);
        }

        private DispatchRule dispatchRule() {
            return request.descriptor().dispatchRule();
        }

        private void recordFirstToken() {
            timeToFirstTokenNanos = context.timer().nanoTime() - dispatchedAtNanos;
            RequestState updated = updateState(current -> current.withWinner(attempt));
            if (updated.isWonBy(attempt)) {
                record(EventKind.REQUEST_FIRST_TOKEN, Optional.of(attempt.endpoint()), "");
                report(attempt, DispatchPhase.FIRST_TOKEN, timeToFirstTokenNanos, false);
                updated.running().stream()
                        .filter(other -> !other.equals(attempt))
                        .forEach(InFlightRequest.this::cancelAttempt);
            }
        }

        private void attemptFailed(DispatchPhase phase, Failure failure, boolean retryAllowed, boolean mayHaveRun) {
            Optional<Failure> possibleRunFailure = mayHaveRun ? Optional.of(failure) : Optional.empty();
            RequestState before = state.getAndUpdate(current -> current.withoutAttempt(attempt, possibleRunFailure));
            dispatches.remove(attempt);
            if (!before.running().contains(attempt)) {
                return;
            }
            boolean hasOtherAttempts = before.running().size() > 1;
            boolean isRetried = (mayHaveRun || claim.get().markRefused())
                    && retryAllowed
                    && !before.hasEnded()
                    && !before.isWonBy(attempt)
                    && !hasOtherAttempts;
            report(attempt, phase, timeToFirstTokenNanos, isRetried);
            if (!isRetried && !hasOtherAttempts) {
                fail(EventKind.REQUEST_FAILED, found -> found.possibleRunFailure()
                        .orElse(failure));
            }
        }
    }
}
