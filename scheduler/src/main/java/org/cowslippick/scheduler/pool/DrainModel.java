package org.cowslippick.scheduler.pool;

import java.util.TreeMap;
import org.cowslippick.scheduler.endpoint.EndpointTable;
import org.cowslippick.scheduler.queue.TieredQueue;
import org.cowslippick.scheduler.rate.DecayingRate;

/**
 * Predicts how long the queue takes to drain down to a tier. The speed is the work dispatched per time while requests
 * waited, or the windows of all endpoints as long as too little was seen; from it goes the work that arrives in higher
 * tiers, which is served before. Work is measured in endpoint time.
 */
final class DrainModel {

    private static final long ARRIVAL_TIME_CONSTANT_NANOS = 2_000_000_000L;
    private static final long ENOUGH_SEEN_NANOS = 200_000_000L;
    private static final long FORGET_AFTER_NANOS = 4_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final TieredQueue queue;
    private final EndpointTable endpoints;
    private final double smallestShare;
    private final TreeMap<Integer, DecayingRate> arrivals = new TreeMap<>();
    private double dispatchedNanos;
    private double saturatedNanos;
    private long lastStepNanos;
    private boolean saturated;

    /** {@code smallestShare} is the part of the speed that even the lowest tier gets. */
    DrainModel(TieredQueue queue, EndpointTable endpoints, double smallestShare) {
        this.queue = queue;
        this.endpoints = endpoints;
        this.smallestShare = smallestShare;
    }

    void arrived(int rank, long serviceNanos, long nowNanos) {
        arrivals.computeIfAbsent(rank, _rank -> new DecayingRate(ARRIVAL_TIME_CONSTANT_NANOS, nowNanos))
                .add((double) serviceNanos, nowNanos);
    }

    void dispatched(long serviceNanos) {
        dispatchedNanos += saturated ? serviceNanos : 0;
    }

    /** Called after each step of the pool. */
    void stepped(long nowNanos) {
        saturatedNanos += saturated ? nowNanos - lastStepNanos : 0;
        saturated = queue.size() > 0;
        lastStepNanos = nowNanos;
        if (saturatedNanos > FORGET_AFTER_NANOS) {
            saturatedNanos /= 2;
            dispatchedNanos /= 2;
        }
    }

    /** How long a request of this rank that arrives now is predicted to wait. */
    long waitNanos(int rank, long nowNanos) {
        return queue.size() == 0 && endpoints.hasAvailable()
                ? 0
                : (long) (queue.serviceNanosDownTo(rank) / speed(rank, nowNanos));
    }

    /** Endpoint time that is worked off per time for a rank and those above it. */
    private double speed(int rank, long nowNanos) {
        double total = saturatedNanos >= ENOUGH_SEEN_NANOS && dispatchedNanos > 0
                ? dispatchedNanos / saturatedNanos
                : Math.max(1, endpoints.totalWindow());
        double higher = arrivals.headMap(rank, false).values().stream()
                .mapToDouble(rate -> rate.perSecond(nowNanos) / NANOS_PER_SECOND)
                .sum();
        return Math.max(smallestShare * total, total - higher);
    }
}
