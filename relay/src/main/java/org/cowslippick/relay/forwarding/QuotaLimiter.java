package org.cowslippick.relay.forwarding;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.routing.OrganisationAccess;

/** Holds organisations to their quotas over all instances. */
public interface QuotaLimiter {

    /** Takes the cost out of the quota; empty if it was there, otherwise when it will be. */
    Optional<Duration> tryAcquire(OrganisationAccess organisation, long cost);

    /** Gives back the cost of a request that did not run. */
    void refund(OrganisationAccess organisation, long cost);
}
