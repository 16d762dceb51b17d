package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import org.cowslippick.scheduler.endpoint.EndpointTable;
import org.cowslippick.scheduler.endpoint.EndpointTracker;

/** The attempts in flight: what they occupy, what is learnt from them, and which of them are overdue. */
final class InFlightTable {

    private static final double OVERDUE_FACTOR = 3;
    private static final long OVERDUE_FLOOR_NANOS = 60_000_000L;
    private static final long ABANDON_NANOS = 60_000_000_000L;

    private final EndpointTable endpoints;
    private final CrashAttribution crashes;
    private final DueSet<Attempt> firstTokens = new DueSet<>();
    private final DueSet<Attempt> abandoned = new DueSet<>();

    InFlightTable(EndpointTable endpoints, CrashAttribution crashes) {
        this.endpoints = endpoints;
        this.crashes = crashes;
    }

    void start(TrackedRequest request, EndpointTracker tracker, int number, long promptTokens, long dispatchedAtNanos) {
        Attempt attempt = new Attempt(request, tracker, dispatchedAtNanos, promptTokens);
        endpoints.start(tracker, promptTokens, dispatchedAtNanos);
        request.start(attempt, number);
        crashes.recordStart(attempt, dispatchedAtNanos);
        abandoned.put(attempt, request.descriptor().deadlineAtNanos() + ABANDON_NANOS);
        if (attempt.expectedFirstTokenNanos() > 0) {
            firstTokens.put(attempt, dispatchedAtNanos + overdueNanos(attempt));
        }
    }

    void release(Attempt attempt) {
        firstTokens.remove(attempt);
        abandoned.remove(attempt);
        if (!attempt.firstTokenSeen()) {
            endpoints.completePrompt(attempt.tracker(), attempt.promptTokens());
        }
        crashes.recordEnd(attempt);
        endpoints.end(attempt.tracker());
        attempt.request().end(attempt);
    }

    void learn(DispatchReport report, Attempt attempt, long nowNanos) {
        if (report.timeToFirstTokenNanos() > 0 && !attempt.firstTokenSeen()) {
            attempt.markFirstToken();
            firstTokens.remove(attempt);
            endpoints.completePrompt(attempt.tracker(), attempt.promptTokens());
            endpoints.observeFirstToken(
                    attempt.tracker(), attempt.promptTokensToFirstToken(), report.timeToFirstTokenNanos(), nowNanos);
        }
        if (report.betweenTokensNanos() > 0 && report.phase().hasEnded()) {
            endpoints.observeBetweenTokens(attempt.tracker(), report.betweenTokensNanos(), nowNanos);
        }
        if (report.phase() == DispatchPhase.FINISHED) {
            endpoints.observeSuccess(attempt.tracker(), nowNanos);
        }
        if (report.phase() == DispatchPhase.CRASHED) {
            crashes.recordCrash(attempt, nowNanos);
        }
        if (report.phase().isFault()) {
            endpoints.observeFault(attempt.tracker(), nowNanos);
        }
    }

    /** Attempts whose first token is overdue; each comes back after as long again while it stays so. */
    ImmutableList<Attempt> overdue(long nowNanos) {
        ImmutableList<Attempt> due = firstTokens.removeDue(nowNanos);
        due.forEach(attempt -> {
            long waitedNanos = nowNanos - attempt.dispatchedAtNanos();
            double ratio = (double) waitedNanos / attempt.expectedFirstTokenNanos();
            endpoints.observeOverdue(attempt.tracker(), ratio, nowNanos);
            firstTokens.put(attempt, nowNanos + waitedNanos);
        });
        return due;
    }

    /** Attempts of which no report came until long after their deadline. */
    ImmutableList<Attempt> abandoned(long nowNanos) {
        return abandoned.removeDue(nowNanos);
    }

    private static long overdueNanos(Attempt attempt) {
        return Math.max(OVERDUE_FLOOR_NANOS, (long) (OVERDUE_FACTOR * attempt.expectedFirstTokenNanos()));
    }
}
