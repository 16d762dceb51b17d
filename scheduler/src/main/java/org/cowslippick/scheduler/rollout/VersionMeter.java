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
    private final Map<Integer, Quantile> firstTimesWithQueue = new HashMap<>();
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
    boolean recordFirst(int route, boolean isTarget, FirstTime time) {
        boolean isSlow = isFirstSlow(route, time);
        if (!isTarget) {
            quantile(firstTimes, route).add(time.nanosPerWork());
            quantile(firstTimesWithQueue, route).add(time.nanosPerQueuedWork());
        }
        return isSlow;
    }

    /**
     * Whether a time to the first event is slow, also if it has not ended. It must be slow with and without the work
     * that the endpoint had before it: the first alone condemns an idle endpoint, the second one that is busy.
     */
    boolean isFirstSlow(int route, FirstTime time) {
        return quantile(firstTimes, route).isExceeded(time.nanosPerWork())
                && quantile(firstTimesWithQueue, route).isExceeded(time.nanosPerQueuedWork());
    }

    /** Whether the time of the answer is slow; a time of the old version is taken as a sample too. */
    boolean recordAnswer(int route, boolean isTarget, double nanosPerToken) {
        Quantile quantile = quantile(answerTimes, route);
        boolean isSlow = quantile.isExceeded(nanosPerToken);
        if (!isTarget) {
            quantile.add(nanosPerToken);
        }
        return isSlow;
    }

    private static Quantile quantile(Map<Integer, Quantile> times, int route) {
        return times.computeIfAbsent(route, _route -> new Quantile());
    }

    void count(int route, boolean isTarget, boolean isFailure, boolean isSlow) {
        (isTarget ? target : old)
                .merge(route, new VersionCounts(1, isFailure ? 1 : 0, isSlow ? 1 : 0), VersionCounts::plus);
    }

    /** A time to the first event, for each unit of the request's work and of all work that the endpoint had then. */
    record FirstTime(double nanosPerWork, double nanosPerQueuedWork) {}

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
