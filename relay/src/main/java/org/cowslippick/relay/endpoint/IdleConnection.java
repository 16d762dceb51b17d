package org.cowslippick.relay.endpoint;

import org.cowslippick.core.routing.LiveEndpoint;

/**
 * A connection that waits for its next request.
 *
 * @param endpoint the endpoint for which it was opened
 * @param idleUntilNanos when the endpoint may begin to close it
 */
record IdleConnection(EndpointConnection connection, LiveEndpoint endpoint, long sinceNanos, long idleUntilNanos) {

    boolean isUsable(String attemptId, long nowNanos) {
        return isAlive(nowNanos) && connection.canSend(attemptId);
    }

    boolean isAlive(long nowNanos) {
        return connection.isOpen() && nowNanos - idleUntilNanos < 0;
    }

    long idleNanos(long nowNanos) {
        return nowNanos - sinceNanos;
    }

    /** Whether the endpoint has said for how long it keeps the connection. */
    boolean isAnnounced() {
        return connection.announcedIdle().isPresent();
    }
}
