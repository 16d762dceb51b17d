package org.cowslippick.scheduler.retry;

import java.util.SplittableRandom;

/** The wait before a further attempt: drawn evenly up to a bound that doubles with each attempt ("full jitter"). */
public final class RetryDelay {

    private static final long BASE_NANOS = 10_000_000L;
    private static final int MAXIMUM_DOUBLINGS = 6;

    private final SplittableRandom random;

    /** Creates a generator whose draws follow from the seed. */
    public RetryDelay(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Draws the wait before the attempt with this number, 2 being the first retry. */
    public long drawNanos(int attempt) {
        int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, attempt - 2));
        return random.nextLong(BASE_NANOS << doublings);
    }
}
