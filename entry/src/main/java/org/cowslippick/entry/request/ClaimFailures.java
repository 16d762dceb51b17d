package org.cowslippick.entry.request;

import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.fleet.claim.ClaimPhase;
import org.cowslippick.fleet.claim.ClaimResult;

/** What a caller is told when the identity of its request is not granted. */
final class ClaimFailures {

    private ClaimFailures() {}

    static Failure of(ClaimResult result) {
        if (result instanceof ClaimResult.Rejected rejected) {
            return rejected.failure();
        }
        if (result instanceof ClaimResult.HeldElsewhere held) {
            return Failure.of(
                    ErrorKind.TICKET_OF_ANOTHER_ENTRY,
                    "the ticket was issued by entry " + held.entry() + "; send the request there");
        }
        return Failure.of(ErrorKind.ALREADY_DISPATCHED, alreadyClaimed(result));
    }

    static Failure expired(RequestId request) {
        return Failure.of(ErrorKind.CLAIM_UNPROVABLE, "the claim of request " + request + " ran out before dispatch");
    }

    private static String alreadyClaimed(ClaimResult result) {
        ClaimPhase phase = result instanceof ClaimResult.AlreadyClaimed claimed ? claimed.phase() : ClaimPhase.UNKNOWN;
        return switch (phase) {
            case CLAIMED -> "a request with this identity is queued";
            case DISPATCHED -> "a request with this identity runs";
            case FINISHED -> "a request with this identity was answered; its answer is no longer kept";
            case RELEASED, UNKNOWN -> "a request with this identity was sent through another entry and may have run";
        };
    }
}
