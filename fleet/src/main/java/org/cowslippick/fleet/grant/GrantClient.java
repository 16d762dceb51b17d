package org.cowslippick.fleet.grant;

import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.scheduler.pool.DispatchReport;

/** Requests grants from the owner of a pool, whether it is this entry or another. Calls do not block. */
public interface GrantClient {

    /** Queues the request at the owner; the listener receives every decision about it until the request ends. */
    void request(PoolKey pool, RequestDescriptor request, GrantListener listener);

    /** Withdraws a request that has not been granted. */
    void withdraw(PoolKey pool, RequestId request);

    /** Reports the progress or end of a granted attempt to the owner. */
    void report(PoolKey pool, DispatchReport report);
}
