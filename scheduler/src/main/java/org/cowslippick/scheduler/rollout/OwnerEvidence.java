package org.cowslippick.scheduler.rollout;

import java.util.ArrayDeque;
import java.util.Deque;

/** The last evidence of one process of an instance, and how fast its requests arrive. */
final class OwnerEvidence {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long RATE_WINDOW_NANOS = 5_000_000_000L;
    private static final long MINIMUM_RATE_WINDOW_NANOS = 1_500_000_000L;

    private final Deque<Sample> samples = new ArrayDeque<>();
    private RolloutTotals totals = RolloutTotals.NONE;
    private long position = -1;
    private long heardAtNanos;

    void record(RolloutTotals reported, long appliedPosition, long nowNanos) {
        totals = reported;
        position = appliedPosition;
        heardAtNanos = nowNanos;
        samples.addLast(new Sample(nowNanos, reported.requests()));
        while (nowNanos - samples.getFirst().atNanos() > RATE_WINDOW_NANOS) {
            samples.removeFirst();
        }
    }

    RolloutTotals totals() {
        return totals;
    }

    long position() {
        return position;
    }

    long heardAtNanos() {
        return heardAtNanos;
    }

    /** The requests a second of the last seconds; 0 while unknown. */
    double requestsPerSecond() {
        Sample first = samples.getFirst();
        Sample last = samples.getLast();
        long elapsed = last.atNanos() - first.atNanos();
        return elapsed == 0 ? 0 : Math.max(0, last.requests() - first.requests()) * NANOS_PER_SECOND / elapsed;
    }

    /** Whether the rate is observed for long enough to plan with it. */
    boolean isRateKnown() {
        return samples.getLast().atNanos() - samples.getFirst().atNanos() >= MINIMUM_RATE_WINDOW_NANOS;
    }

    private record Sample(long atNanos, long requests) {}
}
