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

/** Follows which requests wait in a pool, from its inputs and decisions alone. */
final class WatchedPool implements PoolScheduler {

    private static final long SAMPLE_NANOS = 50_000_000L;

    private final PoolScheduler pool;
    private final ShedInversions inversions;
    private final PoolSamples samples;
    private final Map<RequestId, Integer> waitingRanks = new HashMap<>();
    private long sampledAtNanos;

    WatchedPool(PoolScheduler pool, ShedInversions inversions, PoolSamples samples) {
        this.pool = pool;
        this.inversions = inversions;
        this.samples = samples;
    }

    @Override
    public PoolDecisions offer(RequestDescriptor request, long nowNanos) {
        waitingRanks.put(request.id(), request.tier().rank());
        return observed(pool.offer(request, nowNanos));
    }

    @Override
    public PoolDecisions withdraw(RequestId request, long nowNanos) {
        waitingRanks.remove(request);
        return observed(pool.withdraw(request, nowNanos));
    }

    @Override
    public PoolDecisions report(DispatchReport report, long nowNanos) {
        return observed(pool.report(report, nowNanos));
    }

    @Override
    public PoolDecisions adopt(InFlightAttempt inFlight, long nowNanos) {
        waitingRanks.remove(inFlight.request().id());
        return observed(pool.adopt(inFlight, nowNanos));
    }

    @Override
    public PoolDecisions observe(LoadReport report, long nowNanos) {
        return observed(pool.observe(report, nowNanos));
    }

    @Override
    public PoolDecisions observe(CacheEvents events, long nowNanos) {
        return observed(pool.observe(events, nowNanos));
    }

    @Override
    public PoolDecisions replaceEndpoints(ImmutableList<Endpoint> endpoints, long nowNanos) {
        return observed(pool.replaceEndpoints(endpoints, nowNanos));
    }

    @Override
    public PoolDecisions advance(long nowNanos) {
        if (nowNanos - sampledAtNanos > SAMPLE_NANOS) {
            sampledAtNanos = nowNanos;
            samples.add(pool.snapshot(nowNanos));
        }
        return observed(pool.advance(nowNanos));
    }

    @Override
    public PoolSnapshot snapshot(long nowNanos) {
        return pool.snapshot(nowNanos);
    }

    private PoolDecisions observed(PoolDecisions decisions) {
        decisions.grants().forEach(grant -> waitingRanks.remove(grant.request()));
        decisions.refusals().forEach(this::refused);
        return decisions;
    }

    private void refused(Refusal refusal) {
        Integer rank = waitingRanks.remove(refusal.request());
        if (rank == null || waitingRanks.values().stream().noneMatch(waiting -> waiting > rank)) {
            return;
        }
        if (refusal.failure().kind() == ErrorKind.DEADLINE_PASSED_IN_QUEUE) {
            inversions.countExpired();
        } else if (refusedForRoom(refusal)) {
            inversions.countShed();
        }
    }

    /** A request that no idle pool could serve in time is refused without the hint when to come again. */
    private static boolean refusedForRoom(Refusal refusal) {
        ErrorKind kind = refusal.failure().kind();
        return kind == ErrorKind.SHED
                || (kind == ErrorKind.DEADLINE_UNREACHABLE
                        && refusal.failure().retryAfter().isPresent());
    }
}
