package org.cowslippick.fleet.claim;

import java.time.Instant;
import java.util.Optional;
import org.cowslippick.core.request.RequestId;

/**
 * A claim that this entry's incarnation was granted.
 *
 * @param ticketExpiry the expiry of its ticket; empty if the claim is kept in the platform
 * @param keepUntilNanos when it is forgotten, on the monotonic clock; it is not dispatched later
 */
record LocalClaim(
        ClaimIdentity identity,
        RequestId request,
        ClaimPhase phase,
        Optional<Instant> ticketExpiry,
        long keepUntilNanos) {

    LocalClaim in(ClaimPhase next) {
        return new LocalClaim(identity, request, next, ticketExpiry, keepUntilNanos);
    }

    boolean over(long nowNanos) {
        return keepUntilNanos - nowNanos <= 0;
    }
}
