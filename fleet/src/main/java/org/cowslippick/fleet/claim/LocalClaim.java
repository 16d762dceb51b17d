package org.cowslippick.fleet.claim;

import java.time.Instant;
import java.util.Optional;
import org.cowslippick.core.request.RequestId;

/**
 * A claim granted to this incarnation of the entry.
 *
 * @param ticketExpiry the expiry of its ticket; empty if the claim is kept in the platform
 * @param expiresAtNanos when the claim is evicted, on the monotonic clock; it is not dispatched later
 */
record LocalClaim(
        ClaimIdentity identity,
        RequestId request,
        ClaimPhase phase,
        Optional<Instant> ticketExpiry,
        long expiresAtNanos) {

    LocalClaim withPhase(ClaimPhase next) {
        return new LocalClaim(identity, request, next, ticketExpiry, expiresAtNanos);
    }

    boolean isExpired(long nowNanos) {
        return expiresAtNanos - nowNanos <= 0;
    }
}
