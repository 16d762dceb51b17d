package org.cowslippick.fleet.claim;

/** What became of one operation. */
public record ClaimOperationResult(ClaimOperation operation, Kind kind) {

    /** The kinds of verdicts. */
    public enum Kind {
        /** The claim stands in the partition in the attempt's name. */
        GRANTED(true),
        /** Another attempt's claim stands there. */
        HELD_BY_OTHER(true),
        /** No claim of the attempt stands there any more. */
        RELEASED(true),
        /** The operation was certainly not committed, and never will be. */
        NOT_COMMITTED(false),
        /** A write whose answer was lost may still commit it. */
        IN_DOUBT(false);

        private final boolean settled;

        Kind(boolean settled) {
            this.settled = settled;
        }

        /** Whether the partition was seen to hold what the verdict says. */
        boolean settled() {
            return settled;
        }
    }
}
