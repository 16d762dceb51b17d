package org.cowslippick.scheduler.rollout;

/** The stages of a roll-out. */
public enum RolloutStage {
    /** A few target endpoints get a small share. */
    PROBE,
    /** The target gets a larger share, still below the exposure bound. */
    CANARY,
    /** All requests go to the target while the last requests end on the old endpoints. */
    CUTOVER,
    /** No old endpoint is used any more; the completion is being written. */
    SEALED,
    /** The old endpoints may stop. */
    COMPLETED,
    /** The target gets no request. */
    ROLLED_BACK,
    /** The order was removed: the versions are treated alike. */
    WITHDRAWN;

    /** Whether the stage is never left. */
    public boolean isFinal() {
        return this == COMPLETED || this == ROLLED_BACK || this == WITHDRAWN;
    }

    /** Whether new requests may use endpoints of the target only. */
    public boolean isTargetOnly() {
        return this == SEALED || this == COMPLETED;
    }
}
