package org.cowslippick.scheduler.share;

import java.time.Duration;

/**
 * Books the times at which refused callers return, at the rate at which requests are dispatched, so that they do not
 * return together. Times are counted in intervals of fixed length, so the memory does not depend on the number of
 * refusals. Returns of a less urgent level leave the times of a more urgent one free.
 */
public final class ReturnSchedule {

    private static final long INTERVAL_NANOS = Duration.ofMillis(25).toNanos();

    /** Covers the longest retry-after delay of 4 s. */
    private static final int INTERVALS = 256;

    private static final int LEVELS = 4;

    /** The dispatch interval that is assumed until one has been observed. */
    private static final long INITIAL_DISPATCH_NANOS = Duration.ofMillis(1).toNanos();

    private final int[][] booked = new int[INTERVALS][LEVELS];
    private long firstInterval = Long.MIN_VALUE;

    /**
     * Books the first free time within the bounds, or one of the least booked interval if none is free.
     *
     * @param level 0 is the most urgent
     * @param earliestNanos the shortest delay
     * @param latestNanos the longest delay, at most {@link #longestNanos()}
     * @param dispatchNanos the mean time between two dispatches; 0 if unknown
     * @return the delay
     */
    public long book(int level, long earliestNanos, long latestNanos, long dispatchNanos, long nowNanos) {
        forgetBefore(Math.floorDiv(nowNanos, INTERVAL_NANOS));
        int boundedLevel = Math.min(level, LEVELS - 1);
        long from = Math.floorDiv(nowNanos + earliestNanos, INTERVAL_NANOS);
        long until = Math.floorDiv(nowNanos + latestNanos, INTERVAL_NANOS);
        double capacity = (double) INTERVAL_NANOS / (dispatchNanos > 0 ? dispatchNanos : INITIAL_DISPATCH_NANOS);
        long chosen = interval(boundedLevel, from, until, capacity);
        int position = bookedUpTo(boundedLevel, chosen);
        booked[index(chosen)][boundedLevel]++;
        long within = (long) (position % Math.max(1, capacity) / Math.max(1, capacity) * INTERVAL_NANOS);
        long delay = chosen * INTERVAL_NANOS + within - nowNanos;
        return Math.max(earliestNanos, Math.min(delay, latestNanos));
    }

    /** The longest delay that can be booked. */
    public static long longestNanos() {
        return (INTERVALS - 2) * INTERVAL_NANOS;
    }

    /** An interval is free while all bookings up to its end stay below what is dispatched from the first one on. */
    private long interval(int level, long from, long until, double capacity) {
        long leastBooked = from;
        int least = Integer.MAX_VALUE;
        double allowed = 0;
        int total = 0;
        for (long interval = from; interval <= until; interval++) {
            int count = bookedUpTo(level, interval);
            allowed += capacity;
            total += count;
            if (total + 1 <= Math.max(1, allowed)) {
                return interval;
            }
            if (count < least) {
                least = count;
                leastBooked = interval;
            }
        }
        return leastBooked;
    }

    private int bookedUpTo(int level, long interval) {
        int[] counts = booked[index(interval)];
        int sum = 0;
        for (int each = 0; each <= level; each++) {
            sum += counts[each];
        }
        return sum;
    }

    private void forgetBefore(long interval) {
        if (firstInterval == Long.MIN_VALUE || interval - firstInterval >= INTERVALS) {
            firstInterval = interval - INTERVALS;
        }
        for (; firstInterval < interval; firstInterval++) {
            booked[index(firstInterval)] = new int[LEVELS];
        }
    }

    private static int index(long interval) {
        return (int) Math.floorMod(interval, (long) INTERVALS);
    }
}
