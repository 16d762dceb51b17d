package org.cowslippick.scheduler.slot;

import java.time.Duration;

/** The advantage of an endpoint to which the requesting instance has an idle connection, over nearly equal ones. */
final class ConnectionPreference {

    /** The longest round trip within a region, which opening a connection takes. */
    private static final long ADVANTAGE_NANOS = Duration.ofMillis(8).toNanos();

    private ConnectionPreference() {}

    /** Returns by how much the cost of the endpoint is lower; never more than the time that the request can spare. */
    static long advantageNanos(EndpointLoad load, SlotRequest request, long nowNanos) {
        if (!request.connectedEndpoints().contains(load.endpoint().id())) {
            return 0;
        }
        long slackNanos = request.onTimeUntilNanos() - nowNanos - load.predictedNanos(request, nowNanos);
        return Math.max(0, Math.min(ADVANTAGE_NANOS, slackNanos));
    }
}
