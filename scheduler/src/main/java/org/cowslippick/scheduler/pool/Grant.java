package org.cowslippick.scheduler.pool;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;

/**
 * Permits an entry to send a request to an endpoint once.
 *
 * @param attempt 1 for the first dispatch of the request, higher for retries and hedges
 */
public record Grant(RequestId request, InstanceName entry, EndpointName endpoint, int attempt, Reason reason) {

    public enum Reason {
        FIRST,
        RETRY,
        HEDGE
    }
}
