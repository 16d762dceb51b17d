package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.util.stream.IntStream;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;
import org.cowslippick.core.world.TierName;
import org.cowslippick.scheduler.pool.DispatchPhase;
import org.cowslippick.scheduler.pool.DispatchReport;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.PoolScheduler;

/** Drives requests through a pool without I/O: offer, grant, first token and end. */
final class DecisionLoad {

    private static final Tier TIER = new Tier(new TierName("urgent"), 0, 8);
    private static final long HOUR_NANOS = 3_600_000_000_000L;
    private static final long ARRIVAL_INTERVAL_NANOS = 100_000;
    private static final long FIRST_TOKEN_NANOS = 50_000_000;
    private static final long BETWEEN_TOKENS_NANOS = 20_000_000;
    private static final int ANSWER_TOKENS = 20;
    private static final int ORGANISATIONS = 100;

    private final PoolScheduler pool;
    private long nowNanos;

    DecisionLoad(PoolScheduler pool) {
        this.pool = pool;
    }

    /** Offers requests, which stay queued unless the pool has free endpoints. */
    void offer(int count) {
        IntStream.range(0, count).forEach(number -> pool.offer(request(number), nowNanos));
    }

    /** Runs requests to completion and returns the processor time of each in nanoseconds. */
    double nanosPerRequest(int count) {
        long cpuNanosBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        IntStream.range(0, count).forEach(this::runToCompletion);
        return (double) (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuNanosBefore) / count;
    }

    private void runToCompletion(int number) {
        nowNanos += ARRIVAL_INTERVAL_NANOS;
        pool.offer(request(number), nowNanos).grants().forEach(this::finish);
    }

    private void finish(Grant grant) {
        pool.report(report(grant, DispatchPhase.FIRST_TOKEN, FIRST_TOKEN_NANOS, 0), nowNanos);
        pool.report(report(grant, DispatchPhase.FINISHED, FIRST_TOKEN_NANOS, BETWEEN_TOKENS_NANOS), nowNanos);
    }

    private static DispatchReport report(
            Grant grant, DispatchPhase phase, long firstTokenNanos, long betweenTokensNanos) {
        return new DispatchReport(
                grant.request(), grant.endpoint(), phase, firstTokenNanos, betweenTokensNanos, ANSWER_TOKENS, false);
    }

    private RequestDescriptor request(int number) {
        return new RequestDescriptor(
                new RequestId("request-" + number + "-" + nowNanos),
                new InstanceName("entry-1"),
                new Region("region-0"),
                new OrganisationName("organisation-" + number % ORGANISATIONS),
                new ServiceName("service-0"),
                TIER,
                DispatchRule.IDEMPOTENT,
                nowNanos,
                HOUR_NANOS,
                HOUR_NANOS,
                100,
                ANSWER_TOKENS,
                false,
                ImmutableList.of(1L, 2L),
                number);
    }
}
