package org.cowslippick.relay.client;

/**
 * Bounds on what the process holds for its clients.
 *
 * @param memoryBytes the memory for requests that are being received, and for requests and responses that wait
 * @param callerConnections the connections of callers
 * @param statusConnections the connections at each address that serves the state of the process
 */
public record ClientLimits(long memoryBytes, int callerConnections, int statusConnections) {

    /** The rest of the heap holds the state of the process, and the garbage of its work. */
    private static final double MEMORY_SHARE_OF_HEAP = 0.45;

    /** Files and libraries of the process itself. */
    private static final int RESERVED_DESCRIPTORS = 200;

    /** The remaining descriptors are for engines, other instances and the store. */
    private static final double CALLER_SHARE_OF_DESCRIPTORS = 0.6;

    private static final double STATUS_SHARE_OF_DESCRIPTORS = 0.06;
    private static final int MINIMUM_CONNECTIONS = 8;

    /** Derives the limits from the maximum heap size and the number of descriptors of the process. */
    public static ClientLimits of(long heapBytes, int descriptors) {
        int forSockets = Math.max(0, descriptors - RESERVED_DESCRIPTORS);
        return new ClientLimits(
                (long) (MEMORY_SHARE_OF_HEAP * heapBytes),
                Math.max(MINIMUM_CONNECTIONS, (int) (CALLER_SHARE_OF_DESCRIPTORS * forSockets)),
                Math.max(MINIMUM_CONNECTIONS, (int) (STATUS_SHARE_OF_DESCRIPTORS * forSockets)));
    }
}
