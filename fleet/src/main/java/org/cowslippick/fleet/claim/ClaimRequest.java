package org.cowslippick.fleet.claim;

import java.util.Optional;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestId;

/**
 * Requests the right of one attempt to dispatch the work identified by the key.
 *
 * @param request the attempt, which makes no other claim
 * @param ticket the ticket that the caller sent with the key
 */
public record ClaimRequest(IdempotencyKey key, RequestId request, Optional<Ticket> ticket) {

    /** Returns the identity to be claimed. */
    public ClaimIdentity identity() {
        return ticket.map(sent -> ClaimIdentity.of(key, sent)).orElseGet(() -> ClaimIdentity.of(key));
    }
}
