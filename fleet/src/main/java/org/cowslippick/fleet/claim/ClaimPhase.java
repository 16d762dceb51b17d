package org.cowslippick.fleet.claim;

/** The progress of a claimed request, as known to the answering entry. */
public enum ClaimPhase {
    /** Claimed, and not yet dispatched by this entry. */
    CLAIMED,
    /** Dispatched; it may have run. */
    DISPATCHED,
    /** Dispatched and answered. */
    FINISHED,
    /** Proved not to have run; the identity can be claimed again. */
    RELEASED,
    /** Claimed through another entry or an earlier incarnation; it may have run. */
    UNKNOWN;

    /** Whether the request may be sent to an endpoint now. */
    boolean mayDispatch() {
        return this == CLAIMED;
    }

    /** Whether the request can still be proved not to have run. */
    boolean mayRelease() {
        return this == CLAIMED || this == DISPATCHED;
    }
}
