package org.cowslippick.scheduler.slot;

import java.util.Optional;

/**
 * What an endpoint said last about the requests that it accepts from all instances together.
 *
 * @param requestsPerSecond empty if its last response named no limit
 * @param asOfNanos when that response arrived, on the local monotonic clock
 */
public record EndpointRateLimit(Optional<Double> requestsPerSecond, long asOfNanos) {

    public boolean isLimited() {
        return requestsPerSecond.isPresent();
    }

    public boolean isNewerThan(EndpointRateLimit other) {
        return asOfNanos - other.asOfNanos > 0;
    }
}
