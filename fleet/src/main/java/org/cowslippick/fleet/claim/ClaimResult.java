package org.cowslippick.fleet.claim;

import java.util.Optional;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.world.InstanceName;

/** The answer to a claim; docs/AT-MOST-ONCE.md argues why each may be given. */
public sealed interface ClaimResult {

    /** This attempt, and no other, may be dispatched. */
    record Granted() implements ClaimResult {}

    /**
     * Another attempt holds the identity.
     *
     * @param answer its whole answer, where this entry still has it
     */
    record AlreadyClaimed(ClaimPhase phase, Optional<StoredAnswer> answer) implements ClaimResult {}

    /** Only the entry that issued the ticket knows; it is alive, so the caller should send the request there. */
    record HeldElsewhere(InstanceName entry) implements ClaimResult {}

    /** The claim could not be proved, so this attempt is not dispatched. */
    record Rejected(Failure failure) implements ClaimResult {}
}
