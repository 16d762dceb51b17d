package org.cowslippick.relay.forwarding;

import com.google.common.primitives.Bytes;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events, so that a stream interrupted within an event can be
 * resumed after the previous one.
 */
final class EventScanner {

    private static final String ID_FIELD = "id:";
    private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

    /** The longest part of an event's end that can precede its last byte. */
    private static final int MAXIMUM_TAIL_BYTES = 2;

    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
    private byte[] tail = new byte[0];
    private Optional<String> lastId = Optional.empty();

    /** Adds bytes; returns all complete events that have not been returned yet, byte for byte. */
    byte[] add(ByteBuf bytes) {
        byte[] added = new byte[bytes.readableBytes()];
        bytes.readBytes(added);
        partialEvent.writeBytes(added);
        byte[] unscanned = Bytes.concat(tail, added);
        int end = endOfLastEvent(unscanned);
        if (end == 0) {
            tail = lastBytes(unscanned);
            return new byte[0];
        }
        byte[] all = partialEvent.toByteArray();
        int remaining = unscanned.length - end;
        byte[] complete = Arrays.copyOf(all, all.length - remaining);
        partialEvent.reset();
        partialEvent.write(all, complete.length, remaining);
        tail = lastBytes(partialEvent.toByteArray());
        readIds(complete);
        return complete;
    }

    /** Whether the event that has not ended yet is longer than any event may be. */
    boolean isEventTooLong() {
        return partialEvent.size() > MAXIMUM_EVENT_BYTES;
    }

    boolean hasPartialEvent() {
        return partialEvent.size() > 0;
    }

    /** Discards the beginning of an event whose end will not arrive. */
    void discardPartialEvent() {
        partialEvent.reset();
        tail = new byte[0];
    }

    /** The id of the last complete event that has one. */
    Optional<String> lastId() {
        return lastId;
    }

    /** An event ends with an empty line; lines may end with a carriage return and a line feed. */
    private static int endOfLastEvent(byte[] bytes) {
        for (int index = bytes.length - 1; index > 0; index--) {
            if (bytes[index] == '\n' && isEmptyLine(bytes, index)) {
                return index + 1;
            }
        }
        return 0;
    }

    private static byte[] lastBytes(byte[] bytes) {
        return Arrays.copyOfRange(bytes, Math.max(0, bytes.length - MAXIMUM_TAIL_BYTES), bytes.length);
    }

    private static boolean isEmptyLine(byte[] bytes, int index) {
        int before = bytes[index - 1] == '\r' ? index - 2 : index - 1;
        return before >= 0 && bytes[before] == '\n';
    }

    private void readIds(byte[] events) {
        new String(events, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).strip())
                .reduce((_one, other) -> other)
                .ifPresent(id -> lastId = Optional.of(id));
    }
}
