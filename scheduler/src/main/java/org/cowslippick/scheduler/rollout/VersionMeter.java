package org.cowslippick.scheduler.rollout;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the responses of versions by route. A response is slow if its time for each unit of work is above a multiple of
 * the high quantile of the old version at the same time, so a general slowdown counts against no version.
 */
final class VersionMeter {

    private static final double SLOW_RATIO = 2;

    /** The quantile of the old version's times; estimated by stochastic approximation. */
    private static final double QUANTILE = 0.9;

    private static final double QUANTILE_GAIN = 0.1;
    private static final int MINIMUM_SAMPLES = 30;

    private final Map<Integer, VersionCounts> target = new HashMap<>();
    private final Map<Integer, VersionCounts> old = new HashMap<>();
    private final Map<Integer, Quantile> firstTimes = new HashMap<>();
    private final Map<Integer, Quantile> answerTimes = new HashMap<>();

    /** Starts the counts of a new order; the times of the old version stay known. */
    void reset() {
        target.clear();
        old.clear();
    }

    ImmutableMap<Integer, VersionCounts> target() {
        return ImmutableMap.copyOf(target);
    }

    ImmutableMap<Integer, VersionCounts> old() {
        return ImmutableMap.copyOf(old);
    }

    /** Whether the time to the first event is slow; a time of the old version is taken as a sample too. */
    boolean recordFirst(int route, boolean isTarget, double nanosPerWork) {
        return record(firstTimes, route, isTarget, nanosPerWork);
    }

    /** Whether the time of the answer is slow; a time of the old version is taken as a sample too. */
    boolean recordAnswer(int route, boolean isTarget, double nanosPerToken) {
        return record(answerTimes, route, isTarget, nanosPerToken);
    }

    /** Whether a time that has not ended is slow already. */
    boolean isFirstSlow(int route, double nanosPerWork) {
        return firstTimes.computeIfAbsent(route, _route -> new Quantile()).isExceeded(nanosPerWork);
    }

    void count(int route, boolean isTarget, boolean isFailure, boolean isSlow) {
        (isTarget ? target : old)
                .merge(route, new VersionCounts(1, isFailure ? 1 : 0, isSlow ? 1 : 0), VersionCounts::plus);
    }

    private static boolean record(Map<Integer, Quantile> times, int route, boolean isTarget, double value) {
        Quantile quantile = times.computeIfAbsent(route, _route -> new Quantile());
        boolean isSlow = quantile.isExceeded(value);
        if (!isTarget) {
            quantile.add(value);
        }
        return isSlow;
    }

    private static final class Quantile {
        private double estimate;
        private long samples;

        boolean isExceeded(double value) {
            return samples >= MINIMUM_SAMPLES && value > SLOW_RATIO * estimate;
        }

        void add(double value) {
            samples++;
            estimate = samples == 1
                    ? value
                    : estimate * Math.exp(QUANTILE_GAIN * (value > estimate ? QUANTILE : QUANTILE - 1));
        }
    }
}
