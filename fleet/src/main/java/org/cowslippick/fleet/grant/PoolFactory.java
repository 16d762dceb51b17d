package org.cowslippick.fleet.grant;

import org.cowslippick.core.world.PoolKey;
import org.cowslippick.scheduler.pool.PoolScheduler;

/** Creates the scheduler of a pool when this entry becomes its owner. */
@FunctionalInterface
public interface PoolFactory {

    /** Returns a new scheduler without requests and endpoints. */
    PoolScheduler create(PoolKey pool);
}
