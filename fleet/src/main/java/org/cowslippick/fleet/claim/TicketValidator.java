package org.cowslippick.fleet.claim;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Predicate;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;

/** Checks the ticket of a request before the local claim table is consulted. */
public record TicketValidator(InstanceName entry, Incarnation incarnation) {

    /**
     * Returns why the claim cannot be decided by the local table of this incarnation; empty if the table decides.
     *
     * @param isLive whether an entry of this name is a live member
     */
    public Optional<ClaimResult> rejection(ClaimRequest request, Ticket ticket, Predicate<InstanceName> isLive) {
        if (!ticket.organisation().equals(request.key().organisation())) {
            return Optional.of(new ClaimResult.Rejected(
                    Failure.of(ErrorKind.MALFORMED_REQUEST, "the ticket was issued to another organisation")));
        }
        if (!ticket.entry().equals(entry)) {
            return Optional.of(
                    isLive.test(ticket.entry()) ? new ClaimResult.HeldElsewhere(ticket.entry()) : outcomeUnknown());
        }
        return ticket.incarnation().equals(incarnation) ? Optional.empty() : Optional.of(outcomeUnknown());
    }

    /** Returns the result for an identity that the table does not hold if its ticket admits no new claims. */
    public static Optional<ClaimResult> expiryRejection(Ticket ticket, Instant now, boolean mayHaveEvicted) {
        if (mayHaveEvicted) {
            return Optional.of(outcomeUnknown());
        }
        return ticket.expiry().isAfter(now)
                ? Optional.empty()
                : Optional.of(rejected("the ticket expired at " + ticket.expiry()
                        + " and no request was dispatched under this key; request a new ticket"));
    }

    static ClaimResult outcomeUnknown() {
        return new ClaimResult.AlreadyClaimed(ClaimPhase.UNKNOWN, Optional.empty());
    }

    static ClaimResult rejected(String detail) {
        return new ClaimResult.Rejected(Failure.of(ErrorKind.CLAIM_UNPROVABLE, detail));
    }
}
