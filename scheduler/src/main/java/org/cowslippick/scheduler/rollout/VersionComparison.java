package org.cowslippick.scheduler.rollout;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.stream.Stream;

/**
 * Compares the responses of the target with those of the old version, per route, over the whole roll-out and over its
 * last seconds, so that a version which turns bad late is not excused by its earlier responses.
 */
final class VersionComparison {

    /** Bad responses below this number are never enough. */
    private static final int MINIMUM_BAD = 8;

    /** Well before the 50th bad response, at which the time for rolling back starts. */
    private static final int MAXIMUM_BAD = 30;

    private static final int MINIMUM_OLD_RESPONSES = 30;

    /** The share of bad responses that is tolerated from the target if the old version has none. */
    private static final double TOLERATED_SHARE = 0.02;

    private static final double TOLERATED_RATIO = 2;

    /** There are some thousand tests in a roll-out: routes, windows and evidence four times a second. */
    private static final double BAD_PROBABILITY = 1e-6;

    private static final double SUSPICIOUS_PROBABILITY = 1e-2;

    /** Above this mean, the terms of the distribution underflow; the normal approximation is used instead. */
    private static final double LARGE_MEAN = 500;

    private static final double NORMAL_DEVIATIONS = 5;
    private static final long[] WINDOWS_NANOS = {2_000_000_000L, 10_000_000_000L};
    private static final long SNAPSHOT_PERIOD_NANOS = 200_000_000L;

    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private RolloutTotals current = RolloutTotals.NONE;

    /** Records the totals of all owners. */
    void record(RolloutTotals totals, long nowNanos) {
        current = totals;
        if (snapshots.isEmpty() || nowNanos - snapshots.getLast().atNanos() >= SNAPSHOT_PERIOD_NANOS) {
            snapshots.addLast(new Snapshot(nowNanos, totals));
        }
        while (nowNanos - snapshots.getFirst().atNanos() > 2 * WINDOWS_NANOS[WINDOWS_NANOS.length - 1]) {
            snapshots.removeFirst();
        }
    }

    /** Whether the target is bad on any route. */
    boolean isBad(long nowNanos) {
        return isWorse(BAD_PROBABILITY, nowNanos)
                || current.target().keySet().stream().anyMatch(this::hasTooManyBad);
    }

    /** Whether the target may be bad, so that its share must not rise. */
    boolean isSuspicious(long nowNanos) {
        return isWorse(SUSPICIOUS_PROBABILITY, nowNanos);
    }

    private boolean isWorse(double probability, long nowNanos) {
        return periods(nowNanos).anyMatch(start -> current.target().keySet().stream()
                .anyMatch(route -> isWorse(route, start, probability)));
    }

    private Stream<RolloutTotals> periods(long nowNanos) {
        return Stream.concat(
                Stream.of(RolloutTotals.NONE),
                Arrays.stream(WINDOWS_NANOS).mapToObj(window -> startOf(window, nowNanos)));
    }

    /** The totals at the latest snapshot that is at least as old as the window; nothing before the first one. */
    private RolloutTotals startOf(long windowNanos, long nowNanos) {
        RolloutTotals start = RolloutTotals.NONE;
        for (Snapshot snapshot : snapshots) {
            if (nowNanos - snapshot.atNanos() >= windowNanos) {
                start = snapshot.totals();
            }
        }
        return start;
    }

    private boolean isWorse(int route, RolloutTotals start, double probability) {
        VersionCounts target = counts(current, route).minus(counts(start, route));
        return target.bad() >= MINIMUM_BAD
                && upperTail(target.bad(), target.responses() * toleratedShare(route, start)) < probability;
    }

    private boolean hasTooManyBad(int route) {
        VersionCounts target = counts(current, route);
        return target.bad() >= MAXIMUM_BAD && target.badShare() > toleratedShare(route, RolloutTotals.NONE);
    }

    /** Relative to the old version in the same period, or in all of them if it had too few responses in that one. */
    private double toleratedShare(int route, RolloutTotals start) {
        VersionCounts all = current.old().getOrDefault(route, VersionCounts.NONE);
        VersionCounts recent = all.minus(start.old().getOrDefault(route, VersionCounts.NONE));
        VersionCounts compared = recent.responses() >= MINIMUM_OLD_RESPONSES ? recent : all;
        return Math.min(1, TOLERATED_SHARE + TOLERATED_RATIO * compared.badShare());
    }

    private static VersionCounts counts(RolloutTotals totals, int route) {
        return totals.target().getOrDefault(route, VersionCounts.NONE);
    }

    /** The probability that a Poisson variable with the given mean is at least {@code count}. */
    private static double upperTail(long count, double mean) {
        if (mean > LARGE_MEAN) {
            return count > mean + NORMAL_DEVIATIONS * Math.sqrt(mean) ? 0 : 1;
        }
        double term = Math.exp(-mean);
        double below = 0;
        for (long number = 0; number < count; number++) {
            below += term;
            term *= mean / (number + 1);
        }
        return Math.max(0, 1 - below);
    }

    private record Snapshot(long atNanos, RolloutTotals totals) {}
}
