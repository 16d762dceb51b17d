package org.cowslippick.fleet.claim;

import java.util.Optional;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.world.InstanceName;

/** The result of a claim. docs/AT-MOST-ONCE.md explains under which conditions each result is given. */
public sealed interface ClaimResult {

    /** Only this attempt may be dispatched. */
    record Granted() implements ClaimResult {}

    /**
     * Another attempt holds the identity.
     *
     * @param answer its complete answer, if this entry still stores it
     */
    record AlreadyClaimed(ClaimPhase phase, Optional<StoredAnswer> answer) implements ClaimResult {}

    /** Only the entry that issued the ticket can decide; it is live, so the caller should send the request there. */
    record HeldElsewhere(InstanceName entry) implements ClaimResult {}

    /** The claim is invalid or could not be confirmed, so this attempt is not dispatched. */
    record Rejected(Failure failure) implements ClaimResult {}
}
