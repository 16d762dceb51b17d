package org.cowslippick.fleet.claim;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Predicate;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;

/** Decides what a request under a ticket is told before the local table is asked; it holds no state. */
public record TicketValidator(InstanceName entry, Incarnation incarnation) {

    /**
     * Decides; empty if the local table of this incarnation has to decide.
     *
     * @param alive whether an entry of this name is a live member
     */
    public Optional<ClaimResult> refusal(ClaimRequest request, Ticket ticket, Predicate<InstanceName> alive) {
        if (!ticket.organisation().equals(request.key().organisation())) {
            return Optional.of(new ClaimResult.Rejected(
                    Failure.of(ErrorKind.MALFORMED_REQUEST, "the ticket was issued to another organisation")));
        }
        if (!ticket.entry().equals(entry)) {
            return Optional.of(alive.test(ticket.entry()) ? new ClaimResult.HeldElsewhere(ticket.entry()) : unknown());
        }
        return ticket.incarnation().equals(incarnation) ? Optional.empty() : Optional.of(unknown());
    }

    /** What an identity is told that the table does not hold, if its ticket admits no new claims. */
    public static Optional<ClaimResult> expired(Ticket ticket, Instant now, boolean mayHaveForgotten) {
        if (mayHaveForgotten) {
            return Optional.of(unknown());
        }
        return ticket.expiry().isAfter(now)
                ? Optional.empty()
                : Optional.of(unprovable("the ticket expired, and nothing was sent under this key; ask for a new one"));
    }

    static ClaimResult unknown() {
        return new ClaimResult.AlreadyClaimed(ClaimPhase.UNKNOWN, Optional.empty());
    }

    static ClaimResult unprovable(String detail) {
        return new ClaimResult.Rejected(Failure.of(ErrorKind.CLAIM_UNPROVABLE, detail));
    }
}
