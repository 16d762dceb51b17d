package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import org.cowslippick.scheduler.endpoint.EndpointTable;
import org.cowslippick.scheduler.endpoint.EndpointTracker;

/** Tracks the attempts in flight: their load on endpoints, their reported progress and their time-outs. */
final class InFlightTable {

    private static final double OVERDUE_FACTOR = 3;
    private static final long MINIMUM_OVERDUE_NANOS = 60_000_000L;
    private static final long REPORT_GRACE_NANOS = 60_000_000_000L;

    private final EndpointTable endpoints;
    private final CrashAttribution crashes;
    private final TimerSet<Attempt> firstTokenTimeouts = new TimerSet<>();
    private final TimerSet<Attempt> reportTimeouts = new TimerSet<>();

    InFlightTable(EndpointTable endpoints, CrashAttribution crashes) {
        this.endpoints = endpoints;
        this.crashes = crashes;
    }

    void start(TrackedRequest request, EndpointTracker tracker, int number, long promptTokens, long dispatchedAtNanos) {
        Attempt attempt = new Attempt(request, tracker, dispatchedAtNanos, promptTokens);
        endpoints.start(tracker, promptTokens, dispatchedAtNanos);
        request.start(attempt, number);
        crashes.recordStart(attempt, dispatchedAtNanos);
        reportTimeouts.schedule(attempt, request.descriptor().deadlineAtNanos() + REPORT_GRACE_NANOS);
        if (attempt.expectedFirstTokenNanos() > 0) {
            firstTokenTimeouts.schedule(attempt, dispatchedAtNanos + overdueNanos(attempt));
        }
    }

    void release(Attempt attempt) {
        firstTokenTimeouts.cancel(attempt);
        reportTimeouts.cancel(attempt);
        if (!attempt.hasFirstToken()) {
            endpoints.completePrompt(attempt.tracker(), attempt.promptTokens());
        }
        crashes.recordEnd(attempt);
        endpoints.end(attempt.tracker());
        attempt.request().end(attempt);
    }

    void observe(DispatchReport report, Attempt attempt, long nowNanos) {
        if (report.timeToFirstTokenNanos() > 0 && !attempt.hasFirstToken()) {
            attempt.markFirstToken();
            firstTokenTimeouts.cancel(attempt);
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

    /** Records and returns attempts whose first token is overdue; the interval doubles while none arrives. */
    ImmutableList<Attempt> observeOverdue(long nowNanos) {
        ImmutableList<Attempt> due = firstTokenTimeouts.removeDue(nowNanos);
        due.forEach(attempt -> {
            long waitedNanos = nowNanos - attempt.dispatchedAtNanos();
            double ratio = (double) waitedNanos / attempt.expectedFirstTokenNanos();
            endpoints.observeOverdue(attempt.tracker(), ratio, nowNanos);
            firstTokenTimeouts.schedule(attempt, nowNanos + waitedNanos);
        });
        return due;
    }

    /** Removes and returns attempts without a final report within the grace period after their deadline. */
    ImmutableList<Attempt> removeUnreported(long nowNanos) {
        return reportTimeouts.removeDue(nowNanos);
    }

    private static long overdueNanos(Attempt attempt) {
        return Math.max(MINIMUM_OVERDUE_NANOS, (long) (OVERDUE_FACTOR * attempt.expectedFirstTokenNanos()));
    }
}
