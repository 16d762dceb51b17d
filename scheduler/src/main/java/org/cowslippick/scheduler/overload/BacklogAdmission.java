package org.cowslippick.scheduler.overload;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides which requests an instance refuses because its event loop is behind. A refusal costs a fraction of the work of
 * forwarding, so the backlog ends; less urgent requests are refused at a smaller lag, so that they do not keep more
 * urgent ones waiting, and are asked to return later. The load that it answers: all callers return to an instance that
 * has just been restarted.
 */
public final class BacklogAdmission {

    /** A forwarded request takes several iterations of the loop, so more lag would use up its target. */
    private static final Duration MOST_URGENT_LAG = Duration.ofMillis(400);

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(800);

    /** Leaves room to spread callers, who wait no longer than a part of the time that they have. */
    private static final Duration MAXIMUM_EARLIEST_RETRY = Duration.ofSeconds(2);

    /** Ranks whose callers return one after the other; all others return with the last of them. */
    private static final int SPREAD_RANKS = 4;

    private BacklogAdmission() {}

    /**
     * Returns the retry-after delay of a refusal; empty if the request is admitted.
     *
     * @param spread from 0 to 1, different for callers that are refused together, so that they do not return together
     */
    public static Optional<Duration> refusal(int rank, Duration lag, double spread) {
        int urgency = Math.max(0, rank);
        return lag.compareTo(MOST_URGENT_LAG.dividedBy(1L + urgency)) > 0
                ? Optional.of(retryAfter(urgency, lag, spread))
                : Optional.empty();
    }

    /** The backlog has ended after its lag once more, and after at most twice that time all have returned. */
    private static Duration retryAfter(int rank, Duration lag, double spread) {
        Duration earliest = Comparators.max(
                lag,
                Comparators.max(MINIMUM_RETRY_AFTER, Comparators.min(lag.multipliedBy(2), MAXIMUM_EARLIEST_RETRY)));
        double share = Math.min(1, (rank + spread) / SPREAD_RANKS);
        return earliest.plusNanos((long) (share * earliest.toNanos()));
    }
}
