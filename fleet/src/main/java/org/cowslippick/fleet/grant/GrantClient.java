package org.cowslippick.fleet.grant;

import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.scheduler.pool.DispatchReport;

/** Asks the owner of a pool for grants, whether it is this entry or another. Calls return at once. */
public interface GrantClient {

    /** Queues the request at the owner; the listener hears every decision about it until it ends. */
    void request(PoolKey pool, RequestDescriptor request, GrantListener listener);

    /** Gives up a request that has not been granted. */
    void withdraw(PoolKey pool, RequestId request);

    /** Tells the owner what was seen of a granted request. */
    void report(PoolKey pool, DispatchReport report);
}
