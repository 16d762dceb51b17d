package org.cowslippick.scheduler.overload;

import com.google.common.collect.Comparators;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides which requests an instance refuses because its event loop is behind. A refusal costs a fraction of the work of
 * forwarding, so the backlog ends; less urgent requests are refused at a smaller lag, so that they do not keep more
 * urgent ones waiting. The load that it answers: all callers return to an instance that has just been restarted.
 */
public final class BacklogAdmission {

    /** A forwarded request takes several iterations of the loop, so more lag would use up its target. */
    private static final Duration MOST_URGENT_LAG = Duration.ofMillis(400);

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(800);
    private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(4);

    private BacklogAdmission() {}

    /** Returns the retry-after delay of a refusal; empty if the request is admitted. */
    public static Optional<Duration> refusal(int rank, Duration lag) {
        return Optional.of(lag)
                .filter(behind -> behind.compareTo(MOST_URGENT_LAG.dividedBy(1L + Math.max(0, rank))) > 0)
                .map(behind -> Comparators.max(
                        MINIMUM_RETRY_AFTER, Comparators.min(behind.multipliedBy(2), MAXIMUM_RETRY_AFTER)));
    }
}
