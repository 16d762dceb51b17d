package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.scheduler.quarantine.AttributedCrash;

/**
 * Decides where and when the requests of one pool run. Implementations do no I/O, read no clock and are called by one
 * thread at a time. Each call returns the resulting decisions, which may be about any request of the pool.
 */
public interface PoolScheduler {

    /** Offers an arriving request, whose times are on the clock of {@code nowNanos}. */
    PoolDecisions offer(RequestDescriptor request, long nowNanos);

    /** Withdraws a request whose caller or entry is gone; a queued request is dropped without a decision. */
    PoolDecisions withdraw(RequestId request, long nowNanos);

    /** Records an entry's report about a granted request. */
    PoolDecisions report(DispatchReport report, long nowNanos);

    /** Adopts a request in flight that an entry reports to a new owner of the pool. */
    PoolDecisions adopt(InFlightAttempt inFlight, long nowNanos);

    /** Records a load report of an endpoint. */
    PoolDecisions observe(LoadReport report, long nowNanos);

    /** Records the prompt prefixes that an endpoint reported as stored or evicted. */
    PoolDecisions observe(CacheEvents events, long nowNanos);

    /** Replaces the usable endpoints of the pool; requests in flight on a removed endpoint continue. */
    PoolDecisions replaceEndpoints(ImmutableList<Endpoint> endpoints, long nowNanos);

    /** Advances time; must be called every few milliseconds. */
    PoolDecisions advance(long nowNanos);

    /** The endpoint crashes that this pool attributed to contents, for other pools of the service. */
    default ImmutableList<AttributedCrash> attributedCrashes(long _nowNanos) {
        return ImmutableList.of();
    }

    /** Merges crashes that another pool attributed to contents; merging is idempotent. */
    default void merge(ImmutableList<AttributedCrash> _crashes, long _nowNanos) {}

    /** Returns the current state of the pool, for status and metrics. */
    PoolSnapshot snapshot(long nowNanos);
}
