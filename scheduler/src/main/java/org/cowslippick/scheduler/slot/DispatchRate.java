package org.cowslippick.scheduler.slot;

import java.time.Duration;
import java.util.ArrayDeque;

/** How fast slots were given out lately, from the times of the last dispatches. */
final class DispatchRate {

    private static final int REMEMBERED = 32;
    private static final long LONGEST_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final ArrayDeque<Long> times = new ArrayDeque<>();

    void dispatched(long nowNanos) {
        times.addLast(nowNanos);
        if (times.size() > REMEMBERED) {
            times.removeFirst();
        }
    }

    /** The expected time until the given number of requests has been dispatched. */
    long nanosFor(long requests) {
        if (times.size() < 2) {
            return 0;
        }
        long interval = (times.peekLast() - times.peekFirst()) / (times.size() - 1);
        return requests * Math.min(interval, LONGEST_INTERVAL_NANOS);
    }
}
