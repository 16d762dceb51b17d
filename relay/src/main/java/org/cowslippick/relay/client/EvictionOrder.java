package org.cowslippick.relay.client;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.cowslippick.relay.client.ClientConnection.Activity;

/**
 * Decides which connection is closed when a limit is exceeded. It answers crowds of clients that start requests and stop
 * just short of their end, send very many short fields, do not read responses, or only connect.
 */
final class EvictionOrder {

    /** A client inside the limits completes its request within this time, unless its link is slow. */
    private static final long STALLED_NANOS = Duration.ofSeconds(1).toNanos();

    /** Connections that hold less than this are not worth closing for memory. */
    private static final long NEGLIGIBLE_BYTES = 16 << 10;

    private EvictionOrder() {}

    /**
     * The connection to close for memory: the one that holds most among those without progress, or among all if there is none.
     * Requests that are being served are not ended.
     */
    static <T extends ClientConnection> Optional<T> forMemory(Collection<T> connections, long nowNanos) {
        return connections.stream()
                .filter(connection -> connection.activity() != Activity.SERVED)
                .filter(connection -> connection.heldBytes() >= NEGLIGIBLE_BYTES)
                .max(Comparator.<T, Boolean>comparing(connection -> isStalled(connection, nowNanos))
                        .thenComparingLong(ClientConnection::heldBytes));
    }

    /** The connection to close for a new one: idle ones first, then the one that has made no progress for longest. */
    static <T extends ClientConnection> Optional<T> forConnection(Collection<T> connections, long nowNanos) {
        return connections.stream()
                .filter(connection -> connection.activity() == Activity.IDLE || isStalled(connection, nowNanos))
                .filter(connection -> connection.activity() != Activity.SERVED)
                .min(Comparator.<T, Activity>comparing(ClientConnection::activity)
                        .thenComparing(Comparator.<T>comparingLong(connection -> nowNanos - connection.progressNanos())
                                .reversed()));
    }

    private static boolean isStalled(ClientConnection connection, long nowNanos) {
        return nowNanos - connection.progressNanos() >= STALLED_NANOS;
    }
}
