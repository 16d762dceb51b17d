package org.cowslippick.entry.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.Receipt;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.timeline.EventKind;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.entry.endpoint.Dispatch;
import org.cowslippick.entry.endpoint.DispatchFault;
import org.cowslippick.entry.endpoint.DispatchListener;
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
    private final AtomicReference<RequestState> state = new AtomicReference<>(RequestState.WAITING);
    private final Map<Attempt, Dispatch> dispatches = new ConcurrentHashMap<>();
    private final AtomicReference<TimerService.Subscription> deadline = new AtomicReference<>(() -> {});

    RequestFlow(FlowParts parts, AdmittedRequest request, AnswerListener listener) {
        this.parts = parts;
        this.request = request;
        this.listener = listener;
        this.clock = new RequestClock(parts.timer(), request, parts.self().name());
    }

    /** Queues the request at the owner of its pool. */
    void start() {
        record(EventKind.REQUEST_QUEUED, Optional.empty(), "in pool " + request.pool());
        long left = request.descriptor().deadlineAtNanos() - parts.timer().nanoTime();
        deadline.set(parts.timer().after(Duration.ofNanos(Math.max(left, 0)), this::deadlinePassed));
        parts.grants().request(request.pool(), request.descriptor(), this);
    }

    public AdmittedRequest request() {
        return request;
    }

    /** The caller cancelled or left. */
    public void cancel() {
        ErrorKind kind =
                state.get().mayHaveRun() ? ErrorKind.CANCELLED_AFTER_DISPATCH : ErrorKind.CANCELLED_BEFORE_DISPATCH;
        fail(EventKind.REQUEST_CANCELLED, Failure.of(kind, "the caller cancelled request " + request.id()));
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
        clock.dispatched();
        record(EventKind.REQUEST_DISPATCHED, Optional.of(grant.endpoint()), "attempt " + grant.attempt());
        AttemptListener heard = new AttemptListener(attempt, parts.timer().nanoTime());
        Dispatch dispatch = parts.endpoints().dispatch(endpoint.get(), request.id(), request.call(), heard);
        dispatches.put(attempt, dispatch);
        if (state.get().ended()) {
            cancelAttempt(attempt);
        }
    }

    @Override
    public void refused(Failure failure) {
        RequestState current = state.get();
        if (current.running().isEmpty()) {
            fail(EventKind.REQUEST_FAILED, current.started().orElse(failure));
        }
    }

    private void deadlinePassed() {
        ErrorKind kind = state.get().mayHaveRun()
                ? ErrorKind.DEADLINE_PASSED_AFTER_DISPATCH
                : ErrorKind.DEADLINE_PASSED_IN_QUEUE;
        fail(EventKind.REQUEST_FAILED, Failure.of(kind, "the deadline of request " + request.id() + " passed"));
    }

    private void fail(EventKind event, Failure failure) {
        RequestState before = end();
        if (before.ended()) {
            return;
        }
        record(event, before.winner().map(Attempt::endpoint), failure.kind().text());
        Receipt receipt = clock.receipt(before.winner().map(Attempt::endpoint), false);
        parts.outcomes().failed(request, failure, receipt);
        parts.ended(this);
        listener.failed(failure, receipt);
    }

    /** Ends the request, gives up what is queued or runs, and returns the state before. */
    private RequestState end() {
        RequestState before = state.getAndUpdate(RequestState::end);
        if (!before.ended()) {
            deadline.get().cancel();
            if (before.running().isEmpty()) {
                parts.grants().withdraw(request.pool(), request.id());
            }
            before.running().forEach(this::cancelAttempt);
        }
        return before;
    }

    private void cancelAttempt(Attempt attempt) {
        Optional.ofNullable(dispatches.remove(attempt)).ifPresent(dispatch -> {
            dispatch.cancel();
            report(attempt, DispatchPhase.CANCELLED, 0, false);
        });
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
            dispatches.remove(attempt);
            RequestState before = end();
            if (!before.ended()) {
                report(attempt, DispatchPhase.FINISHED, timeToFirstTokenNanos, false);
                record(EventKind.REQUEST_ANSWERED, Optional.of(attempt.endpoint()), clock.tokens() + " tokens");
                Receipt receipt = clock.receipt(Optional.of(attempt.endpoint()), true);
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
                    rule().retryAfterRefusal(),
                    false);
        }

        @Override
        public void failed(DispatchFault fault, Failure failure) {
            boolean nothingRelayed = !clock.firstTokenSeen();
            attemptFailed(fault.phase(), failure, rule().retryAfterStart() && nothingRelayed, true);
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
                won.running().stream().filter(other -> !other.equals(attempt)).forEach(this::giveUp);
            }
        }

        private void giveUp(Attempt loser) {
            change(current -> current.attemptEnded(loser, Optional.empty()));
            cancelAttempt(loser);
        }

        private void attemptFailed(DispatchPhase phase, Failure failure, boolean retryAllowed, boolean mayHaveRun) {
            RequestState before = state.getAndUpdate(
                    current -> current.attemptEnded(attempt, mayHaveRun ? Optional.of(failure) : Optional.empty()));
            dispatches.remove(attempt);
            boolean wasWinner = before.wonBy(attempt);
            boolean othersRun = before.running().stream().anyMatch(other -> !other.equals(attempt));
            boolean retry = retryAllowed && !before.ended() && !wasWinner && !othersRun;
            report(attempt, phase, timeToFirstTokenNanos, retry);
            if (!retry && !othersRun) {
                fail(EventKind.REQUEST_FAILED, before.started().orElse(failure));
            }
        }
    }
}
