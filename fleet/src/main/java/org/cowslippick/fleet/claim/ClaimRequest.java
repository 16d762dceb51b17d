package org.cowslippick.fleet.claim;

import java.util.Optional;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestId;

/**
 * Asks that one attempt may dispatch the work that the key names.
 *
 * @param request the attempt; its identity is used for one claim only
 * @param ticket the ticket that the caller sent with the key
 */
public record ClaimRequest(IdempotencyKey key, RequestId request, Optional<Ticket> ticket) {

    /** The identity to be claimed. */
    public ClaimIdentity identity() {
        return ticket.map(sent -> ClaimIdentity.of(key, sent)).orElseGet(() -> ClaimIdentity.of(key));
    }
}
