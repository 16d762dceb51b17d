package org.cowslippick.fleet.claim;

/** How far a claimed request has come, as far as the answering entry knows. */
public enum ClaimPhase {
    /** Claimed, and not dispatched by this entry yet. */
    CLAIMED,
    /** Dispatched; it may have run. */
    DISPATCHED,
    /** Dispatched and answered. */
    FINISHED,
    /** Proved not to have run; the identity is free again. */
    RELEASED,
    /** Claimed through another entry or an earlier incarnation; it may have run. */
    UNKNOWN;

    /** Whether the request may be sent to an endpoint now. */
    boolean mayDispatch() {
        return this == CLAIMED;
    }

    /** Whether a proof that the request did not run still can come. */
    boolean mayRelease() {
        return this == CLAIMED || this == DISPATCHED;
    }
}
