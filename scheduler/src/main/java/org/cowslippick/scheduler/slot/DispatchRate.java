package org.cowslippick.scheduler.slot;

import java.time.Duration;
import java.util.ArrayDeque;

/** Estimates the current dispatch rate from the times of the last dispatches. */
final class DispatchRate {

    private static final int SAMPLES = 32;
    private static final long MAXIMUM_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final ArrayDeque<Long> dispatchTimes = new ArrayDeque<>();

    void recordDispatch(long nowNanos) {
        dispatchTimes.addLast(nowNanos);
        if (dispatchTimes.size() > SAMPLES) {
            dispatchTimes.removeFirst();
        }
    }

    /** Returns the expected time until the given number of requests is dispatched, or 0 without enough samples. */
    long expectedNanos(long requests) {
        if (dispatchTimes.size() < 2) {
            return 0;
        }
        long interval = (dispatchTimes.peekLast() - dispatchTimes.peekFirst()) / (dispatchTimes.size() - 1);
        return requests * Math.min(interval, MAXIMUM_INTERVAL_NANOS);
    }
}
