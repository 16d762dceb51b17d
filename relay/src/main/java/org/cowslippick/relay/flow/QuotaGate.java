package org.cowslippick.relay.flow;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.routing.OrganisationAccess;

/** Holds organisations to their quotas over all instances. */
public interface QuotaGate {

    /** Takes the cost out of the quota; empty if it was there, otherwise when it will be. */
    Optional<Duration> take(OrganisationAccess organisation, long cost);

    /** Gives back the cost of a request that did not run. */
    void giveBack(OrganisationAccess organisation, long cost);
}
