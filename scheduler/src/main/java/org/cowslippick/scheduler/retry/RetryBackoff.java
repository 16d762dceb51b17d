package org.cowslippick.scheduler.retry;

import java.util.SplittableRandom;

/** Exponential backoff with full jitter: each delay is uniform below a bound that doubles with each attempt. */
public final class RetryBackoff {

    private static final long BASE_NANOS = 10_000_000L;
    private static final int MAXIMUM_DOUBLINGS = 6;

    private final SplittableRandom random;

    /** Creates a backoff whose delays are determined by the seed. */
    public RetryBackoff(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Draws the delay before the given attempt, where attempt 2 is the first retry. */
    public long nextDelayNanos(int attempt) {
        int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, attempt - 2));
        return random.nextLong(BASE_NANOS << doublings);
    }
}
