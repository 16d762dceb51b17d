package org.cowslippick.fleet.claim;

import org.cowslippick.core.request.RequestId;

/** One change that an attempt asks of a partition. */
public record ClaimOperation(Kind kind, ClaimIdentity identity, RequestId request) {

    /** The kinds of changes. */
    public enum Kind {
        CLAIM,
        RELEASE
    }
}
