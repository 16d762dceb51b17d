package org.cowslippick.relay.caller;

/** The heap memory of the request bodies of all connections. Large bodies leave a part of it to small ones. */
final class BodyMemory {

    /** Under half of the heap of the smallest deployment (180 MB). */
    private static final long MAXIMUM_BYTES = 72L << 20;

    /** For processes with a smaller heap. */
    private static final double MAXIMUM_SHARE_OF_HEAP = 0.42;

    private static final double SHARE_BESIDE_LARGE_BODIES = 64.0 / 72;
    private static final int LARGE_BODY_BYTES = 64 << 10;

    private final long maximumBytes;
    private long reservedBytes;

    BodyMemory(long heapBytes) {
        maximumBytes = Math.min(MAXIMUM_BYTES, (long) (MAXIMUM_SHARE_OF_HEAP * heapBytes));
    }

    long reservedBytes() {
        return reservedBytes;
    }

    /** Reserves more memory for a body that will have the given size; returns false if the limit would be exceeded. */
    boolean tryReserve(int bytes, int bodyBytes) {
        long limit = bodyBytes < LARGE_BODY_BYTES ? maximumBytes : (long) (SHARE_BESIDE_LARGE_BODIES * maximumBytes);
        if (reservedBytes + bytes > limit) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(int bytes) {
        reservedBytes -= bytes;
    }
}
