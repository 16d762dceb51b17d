package org.cowslippick.scheduler.pool;

import java.util.TreeMap;
import org.cowslippick.scheduler.endpoint.EndpointTable;
import org.cowslippick.scheduler.queue.TieredQueue;
import org.cowslippick.scheduler.rate.DecayingRate;

/**
 * Predicts how long the queue takes to drain down to a tier. The drain rate is the work dispatched per unit of time
 * while requests waited, or the sum of the endpoint windows without enough samples, minus the work that arrives in
 * higher tiers, which is served first. Work is measured in endpoint time.
 */
final class DrainModel {

    private static final long ARRIVAL_TIME_CONSTANT_NANOS = 2_000_000_000L;
    private static final long MINIMUM_SATURATED_NANOS = 200_000_000L;
    private static final long HALVING_THRESHOLD_NANOS = 4_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final TieredQueue queue;
    private final EndpointTable endpoints;
    private final double minimumShare;
    private final TreeMap<Integer, DecayingRate> arrivals = new TreeMap<>();
    private double dispatchedNanos;
    private double saturatedNanos;
    private long lastStepNanos;
    private boolean isSaturated;

    /** {@code minimumShare} is the share of the drain rate that even the lowest tier gets. */
    DrainModel(TieredQueue queue, EndpointTable endpoints, double minimumShare) {
        this.queue = queue;
        this.endpoints = endpoints;
        this.minimumShare = minimumShare;
    }

    void recordArrival(int rank, long serviceNanos, long nowNanos) {
        arrivals.computeIfAbsent(rank, _rank -> new DecayingRate(ARRIVAL_TIME_CONSTANT_NANOS, nowNanos))
                .add((double) serviceNanos, nowNanos);
    }

    void recordDispatch(long serviceNanos) {
        dispatchedNanos += isSaturated ? serviceNanos : 0;
    }

    /** Must be called after each step of the pool. */
    void recordStep(long nowNanos) {
        saturatedNanos += isSaturated ? nowNanos - lastStepNanos : 0;
        isSaturated = queue.size() > 0;
        lastStepNanos = nowNanos;
        if (saturatedNanos > HALVING_THRESHOLD_NANOS) {
            saturatedNanos /= 2;
            dispatchedNanos /= 2;
        }
    }

    /** The predicted queueing time of a request of this rank that arrives now. */
    long waitNanos(int rank, long nowNanos) {
        return queue.size() == 0 && endpoints.hasAvailable()
                ? 0
                : (long) (queue.serviceNanosDownTo(rank) / drainRate(rank, nowNanos));
    }

    /** Endpoint time drained per unit of time for a rank and the ranks above it. */
    private double drainRate(int rank, long nowNanos) {
        double total = saturatedNanos >= MINIMUM_SATURATED_NANOS && dispatchedNanos > 0
                ? dispatchedNanos / saturatedNanos
                : Math.max(1, endpoints.totalWindow());
        double higherTiers = arrivals.headMap(rank, false).values().stream()
                .mapToDouble(rate -> rate.perSecond(nowNanos) / NANOS_PER_SECOND)
                .sum();
        return Math.max(minimumShare * total, total - higherTiers);
    }
}
