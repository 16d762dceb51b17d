package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.scheduler.quarantine.AttributedCrash;

/**
 * Decides which request of one pool runs where and when. Implementations do no I/O, read no clock and are called by one
 * thread at a time. Every call returns the decisions that it led to, for any request of the pool.
 */
public interface PoolScheduler {

    /** A request arrives; its times are on the clock of {@code nowNanos}. */
    PoolDecisions offer(RequestDescriptor request, long nowNanos);

    /** The caller of a request left, or its entry died; a queued request is dropped without a decision. */
    PoolDecisions withdraw(RequestId request, long nowNanos);

    /** An entry reports what it saw of a request that was granted. */
    PoolDecisions report(DispatchReport report, long nowNanos);

    /** An entry reports a request in flight to a new owner of the pool. */
    PoolDecisions adopt(InFlightAttempt inFlight, long nowNanos);

    /** An endpoint reported its load some time ago. */
    PoolDecisions observe(LoadReport report, long nowNanos);

    /** An endpoint reported which prompt prefixes it stored or evicted. */
    PoolDecisions observe(CacheEvents events, long nowNanos);

    /** The usable endpoints of the pool changed; requests in flight on a removed endpoint go on. */
    PoolDecisions replaceEndpoints(ImmutableList<Endpoint> endpoints, long nowNanos);

    /** Time passed; called every few milliseconds. */
    PoolDecisions advance(long nowNanos);

    /** The crashes of endpoints that the pool attributed to contents, for other pools of the service. */
    default ImmutableList<AttributedCrash> attributedCrashes(long _nowNanos) {
        return ImmutableList.of();
    }

    /** Takes in crashes that another pool attributed to contents; merging them again changes nothing. */
    default void merge(ImmutableList<AttributedCrash> _crashes, long _nowNanos) {}

    /** What the pool looks like now, for status and metrics. */
    PoolSnapshot snapshot(long nowNanos);
}
