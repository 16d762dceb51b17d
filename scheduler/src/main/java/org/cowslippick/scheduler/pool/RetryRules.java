package org.cowslippick.scheduler.pool;

import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.scheduler.retry.RatioBudget;

/** Decides whether a request is retried after a failed attempt, and which failure its caller gets otherwise. */
final class RetryRules {

    private static final int MAXIMUM_ATTEMPTS = 4;

    private final RatioBudget budget;

    RetryRules(RatioBudget budget) {
        this.budget = budget;
    }

    /** Withdraws one retry from the budget, if the dispatch rule and the budget allow it. */
    boolean tryRetry(TrackedRequest request, DispatchReport report) {
        return report.retryWanted()
                && isAllowed(request.descriptor().dispatchRule(), report.phase())
                && request.attemptsStarted() < MAXIMUM_ATTEMPTS
                && budget.tryWithdraw();
    }

    static ErrorKind kind(DispatchPhase phase) {
        return switch (phase) {
            case REFUSED, NOT_SENT -> ErrorKind.ENDPOINT_REFUSED;
            case SILENT -> ErrorKind.ENDPOINT_SILENT;
            default -> ErrorKind.ENDPOINT_FAILED;
        };
    }

    static Failure failure(TrackedRequest request, DispatchReport report) {
        return Failure.of(
                request.effectiveKind(kind(report.phase())),
                "attempt " + request.attemptsStarted() + " on endpoint " + report.endpoint() + " ended as "
                        + report.phase() + " and is not retried");
    }

    private static boolean isAllowed(DispatchRule rule, DispatchPhase phase) {
        return switch (phase) {
            case NOT_SENT -> true;
            case REFUSED -> rule.allowsRetryAfterRefusal();
            default -> rule.allowsRetryAfterStart();
        };
    }
}
