package org.cowslippick.relay.forwarding;

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

    private final ByteArrayOutputStream partialEvent = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();

    /** Adds bytes; returns all complete events that have not been returned yet, byte for byte. */
    byte[] add(ByteBuf bytes) {
        byte[] added = new byte[bytes.readableBytes()];
        bytes.readBytes(added);
        partialEvent.writeBytes(added);
        byte[] all = partialEvent.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        partialEvent.reset();
        partialEvent.write(all, end, all.length - end);
        byte[] complete = Arrays.copyOf(all, end);
        readIds(complete);
        return complete;
    }

    boolean hasPartialEvent() {
        return partialEvent.size() > 0;
    }

    /** Discards the beginning of an event whose end will not arrive. */
    void discardPartialEvent() {
        partialEvent.reset();
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
