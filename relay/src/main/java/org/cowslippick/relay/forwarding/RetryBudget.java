package org.cowslippick.relay.forwarding;

import org.cowslippick.core.world.ServiceName;

/** Bounds how many requests are sent to a further endpoint, as a share of all requests. */
public interface RetryBudget {

    /** Counts a request that is sent for the first time. */
    void recordRequest(ServiceName service);

    /** Takes one further send; false if there is none left. */
    boolean tryAcquireRetry(ServiceName service);
}
