package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.scheduler.pool.CacheEvents;
import org.cowslippick.scheduler.pool.DispatchReport;
import org.cowslippick.scheduler.pool.InFlightAttempt;
import org.cowslippick.scheduler.pool.LoadReport;
import org.cowslippick.scheduler.pool.PoolDecisions;
import org.cowslippick.scheduler.pool.PoolScheduler;
import org.cowslippick.scheduler.pool.PoolSnapshot;
import org.cowslippick.scheduler.pool.Refusal;

/** Wraps a pool to count shed inversions and to sample its state, from its inputs and decisions alone. */
final class InstrumentedPool implements PoolScheduler {

    private static final long SAMPLE_PERIOD_NANOS = 50_000_000L;

    private final PoolScheduler pool;
    private final ShedInversions inversions;
    private final PoolStatistics statistics;
    private final Map<RequestId, Integer> queuedRanks = new HashMap<>();
    private long lastSampleNanos;

    InstrumentedPool(PoolScheduler pool, ShedInversions inversions, PoolStatistics statistics) {
        this.pool = pool;
        this.inversions = inversions;
        this.statistics = statistics;
    }

    @Override
    public PoolDecisions offer(RequestDescriptor request, long nowNanos) {
        queuedRanks.put(request.id(), request.tier().rank());
        return track(pool.offer(request, nowNanos));
    }

    @Override
    public PoolDecisions withdraw(RequestId request, long nowNanos) {
        queuedRanks.remove(request);
        return track(pool.withdraw(request, nowNanos));
    }

    @Override
    public PoolDecisions report(DispatchReport report, long nowNanos) {
        return track(pool.report(report, nowNanos));
    }

    @Override
    public PoolDecisions adopt(InFlightAttempt inFlight, long nowNanos) {
        queuedRanks.remove(inFlight.request().id());
        return track(pool.adopt(inFlight, nowNanos));
    }

    @Override
    public PoolDecisions observe(LoadReport report, long nowNanos) {
        return track(pool.observe(report, nowNanos));
    }

    @Override
    public PoolDecisions observe(CacheEvents events, long nowNanos) {
        return track(pool.observe(events, nowNanos));
    }

    @Override
    public PoolDecisions replaceEndpoints(ImmutableList<Endpoint> endpoints, long nowNanos) {
        return track(pool.replaceEndpoints(endpoints, nowNanos));
    }

    @Override
    public PoolDecisions advance(long nowNanos) {
        if (nowNanos - lastSampleNanos > SAMPLE_PERIOD_NANOS) {
            lastSampleNanos = nowNanos;
            statistics.recordSample(pool.snapshot(nowNanos));
        }
        return track(pool.advance(nowNanos));
    }

    @Override
    public PoolSnapshot snapshot(long nowNanos) {
        return pool.snapshot(nowNanos);
    }

    private PoolDecisions track(PoolDecisions decisions) {
        decisions.grants().forEach(grant -> queuedRanks.remove(grant.request()));
        decisions.refusals().forEach(this::countInversion);
        return decisions;
    }

    private void countInversion(Refusal refusal) {
        Integer rank = queuedRanks.remove(refusal.request());
        if (rank == null || queuedRanks.values().stream().noneMatch(queuedRank -> queuedRank > rank)) {
            return;
        }
        if (refusal.failure().kind() == ErrorKind.DEADLINE_PASSED_IN_QUEUE) {
            inversions.countExpired();
        } else if (isOverloadRefusal(refusal)) {
            inversions.countShed();
        }
    }

    /**
     * Returns whether a refusal is due to overload. A request that even an idle pool could not serve in time is refused
     * without a retry-after delay.
     */
    private static boolean isOverloadRefusal(Refusal refusal) {
        ErrorKind kind = refusal.failure().kind();
        return kind == ErrorKind.SHED
                || (kind == ErrorKind.DEADLINE_UNREACHABLE
                        && refusal.failure().retryAfter().isPresent());
    }
}
