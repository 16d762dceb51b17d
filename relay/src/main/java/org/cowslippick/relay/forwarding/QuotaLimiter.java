package org.cowslippick.relay.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.routing.OrganisationAccess;

/** Enforces the quotas of organisations over all instances. */
public interface QuotaLimiter {

    /**
     * Takes the cost from the quota. Returns empty on success, otherwise the time until the quota can be used again.
     */
    Optional<Duration> tryAcquire(OrganisationAccess organisation, long cost);

    /** Credits the cost of a request that did not run back to the quota. */
    void refund(OrganisationAccess organisation, long cost);
}
