package org.cowslippick.relay.forwarding;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks in the middle of one can go on
 * from the end of the one before.
 */
final class EventScanner {

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream unfinished = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();

    /** Adds bytes; returns all whole events that have not been returned yet, as they came. */
    byte[] add(ByteBuf bytes) {
        byte[] added = new byte[bytes.readableBytes()];
        bytes.readBytes(added);
        unfinished.writeBytes(added);
        byte[] all = unfinished.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        unfinished.reset();
        unfinished.write(all, end, all.length - end);
        byte[] whole = Arrays.copyOf(all, end);
        readIds(whole);
        return whole;
    }

    /** Whether a part of an event has come without its end. */
    boolean inEvent() {
        return unfinished.size() > 0;
    }

    /** Forgets the part of an event whose end will not come. */
    void dropUnfinished() {
        unfinished.reset();
    }

    /** The id of the last whole event. */
    Optional<String> lastId() {
        return lastId;
    }

    /** An event ends with an empty line; the line before it may end with a carriage return. */
    private static int endOfLastEvent(byte[] bytes) {
        for (int index = bytes.length - 1; index > 0; index--) {
            if (bytes[index] == '\n' && endsLine(bytes, index)) {
                return index + 1;
            }
        }
        return 0;
    }

    private static boolean endsLine(byte[] bytes, int index) {
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
