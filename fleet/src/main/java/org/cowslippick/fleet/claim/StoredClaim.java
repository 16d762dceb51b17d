package org.cowslippick.fleet.claim;

import java.time.Duration;
import java.time.Instant;
import org.cowslippick.core.request.RequestId;

/** A claim as stored in a partition. */
public record StoredClaim(RequestId holder, Instant claimedAt) {

    /** How long a claim is kept; a key sent again after this time counts as new work. */
    public static final Duration RETENTION = Duration.ofHours(24);

    boolean isExpired(Instant now) {
        return claimedAt.plus(RETENTION).isBefore(now);
    }
}
