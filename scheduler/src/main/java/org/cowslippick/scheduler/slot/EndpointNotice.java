package org.cowslippick.scheduler.slot;

import java.util.Optional;

/**
 * What an endpoint said about itself in a response to an instance.
 *
 * @param isLeaving whether it takes no new requests from anyone
 * @param pausedUntilNanos until when it wants no further request from that instance, on the local monotonic clock
 */
public record EndpointNotice(boolean isLeaving, Optional<Long> pausedUntilNanos) {

    public static final EndpointNotice LEAVING = new EndpointNotice(true, Optional.empty());

    public static EndpointNotice pausedUntil(long nanos) {
        return new EndpointNotice(false, Optional.of(nanos));
    }
}
