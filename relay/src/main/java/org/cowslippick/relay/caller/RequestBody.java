package org.cowslippick.relay.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a request, in heap memory that is reserved from when its bytes arrive until the request has been answered.
 * A declared length reserves nothing, as the bytes may never come.
 */
final class RequestBody {

    private static final int FIRST_CAPACITY_BYTES = 1 << 10;

    private final BodyMemory memory;
    private final int expectedBytes;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
    private int reservedBytes;

    /**
     * Creates an empty body.
     *
     * @param expectedBytes the declared length, or the longest allowed; reserved memory is doubled up to this
     */
    RequestBody(BodyMemory memory, int expectedBytes) {
        this.memory = memory;
        this.expectedBytes = expectedBytes;
    }

    int length() {
        return bytes.readableBytes();
    }

    /** Appends bytes; returns false if there is no memory left for them. */
    boolean tryAppend(ByteBuf added) {
        int needed = length() + added.readableBytes();
        if (needed > bytes.capacity() && !tryGrow(needed)) {
            return false;
        }
        if (added.isReadable()) {
            bytes.writeBytes(added);
        }
        return true;
    }

    int reservedBytes() {
        return reservedBytes;
    }

    ByteBuf content() {
        return bytes.duplicate();
    }

    void release() {
        memory.release(reservedBytes);
        reservedBytes = 0;
        bytes = Unpooled.EMPTY_BUFFER;
    }

    private boolean tryGrow(int needed) {
        int capacity = Math.max(needed, Math.min(expectedBytes, Math.max(FIRST_CAPACITY_BYTES, 2 * reservedBytes)));
        if (!memory.tryReserve(capacity - reservedBytes, capacity)) {
            return false;
        }
        reservedBytes = capacity;
        bytes = Unpooled.buffer(capacity, capacity).writeBytes(bytes);
        return true;
    }
}
