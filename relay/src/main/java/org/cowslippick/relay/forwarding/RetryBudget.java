package org.cowslippick.relay.forwarding;

import org.cowslippick.core.world.ServiceName;

/** Limits retries at further endpoints to a fraction of all requests. */
public interface RetryBudget {

    /** Counts the first dispatch of a request. */
    void recordRequest(ServiceName service);

    /** Takes one retry from the budget; returns false if none is left. */
    boolean tryAcquireRetry(ServiceName service);
}
