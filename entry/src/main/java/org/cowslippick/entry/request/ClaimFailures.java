package org.cowslippick.entry.request;

import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.fleet.claim.ClaimPhase;
import org.cowslippick.fleet.claim.ClaimResult;

/** The failures reported to a caller whose claim was not granted or has expired. */
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
        return Failure.of(ErrorKind.CLAIM_UNPROVABLE, "the claim of request " + request + " expired before dispatch");
    }

    private static String alreadyClaimed(ClaimResult result) {
        ClaimPhase phase = result instanceof ClaimResult.AlreadyClaimed claimed ? claimed.phase() : ClaimPhase.UNKNOWN;
        return switch (phase) {
            case CLAIMED -> "a request with this identity is queued";
            case DISPATCHED -> "a request with this identity is running";
            case FINISHED -> "a request with this identity was answered; the answer is no longer stored";
            case RELEASED, UNKNOWN -> "a request with this identity was sent through another entry and may have run";
        };
    }
}
