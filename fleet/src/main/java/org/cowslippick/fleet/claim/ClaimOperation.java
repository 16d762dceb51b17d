package org.cowslippick.fleet.claim;

import org.cowslippick.core.request.RequestId;

/** A change of a partition requested by one attempt. */
public record ClaimOperation(Kind kind, ClaimIdentity identity, RequestId request) {

    public enum Kind {
        CLAIM,
        RELEASE
    }
}
