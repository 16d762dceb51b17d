package org.cowslippick.fleet.claim;

/** The result of one operation on a partition. */
public record ClaimOperationResult(ClaimOperation operation, Kind kind) {

    public enum Kind {
        /** The partition holds the claim for this attempt. */
        GRANTED(true),
        /** The partition holds a claim of another attempt. */
        HELD_BY_OTHER(true),
        /** The partition holds no claim of this attempt any more. */
        RELEASED(true),
        /** The operation was not committed and never will be. */
        NOT_COMMITTED(false),
        /** The response to a write was lost, so the operation may still be committed. */
        IN_DOUBT(false);

        private final boolean isConclusive;

        Kind(boolean isConclusive) {
            this.isConclusive = isConclusive;
        }

        /** Whether the result was read from, or written to, the partition. */
        boolean isConclusive() {
            return isConclusive;
        }
    }
}
