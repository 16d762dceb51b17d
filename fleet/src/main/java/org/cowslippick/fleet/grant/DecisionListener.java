package org.cowslippick.fleet.grant;

import org.cowslippick.core.world.PoolKey;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.Refusal;

/** Receives the decisions of the pools of a {@link PoolHost}; calls for one pool are never concurrent. */
public interface DecisionListener {

    /** A pool granted an attempt. */
    void granted(PoolKey pool, Grant grant);

    /** A pool refused a request or a further attempt of it. */
    void refused(PoolKey pool, Refusal refusal);
}
