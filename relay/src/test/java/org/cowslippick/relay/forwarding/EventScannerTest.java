package org.cowslippick.relay.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventScannerTest {

    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

    private final EventScanner scanner = new EventScanner();

    @Test
    void holdsBackAPartialEvent() {
        assertEquals("id: 1\ndata: a\n\n", add("id: 1\ndata: a\n\nid: 2\nda"));
        assertTrue(scanner.hasPartialEvent());
        assertEquals(Optional.of("1"), scanner.lastId());
    }

    @Test
    void resumesAfterADiscardedPartialEvent() {
        add("id: 1\ndata: a\n\nid: 2\nda");
        scanner.discardPartialEvent();
        assertEquals("id: 2\ndata: b\n\n", add("id: 2\ndata: b\n\n"));
        assertFalse(scanner.hasPartialEvent());
    }

    @Test
    void readsEventsWithCarriageReturns() {
        assertEquals("id: 7\r\ndata: x\r\n\r\n", add("id: 7\r\ndata: x\r\n\r\n"));
        assertEquals(Optional.of("7"), scanner.lastId());
    }

    /** The output equals the input for every chunk size. */
    @Property(tries = 100, seed = "5")
    void passesAllBytesOnForEveryChunkSize(@ForAll @IntRange(min = 1, max = 20) int size) {
        EventScanner splitter = new EventScanner();
        StringBuilder output = new StringBuilder();
        for (int from = 0; from < STREAM.length(); from += size) {
            String chunk = STREAM.substring(from, Math.min(STREAM.length(), from + size));
            output.append(new String(
                    splitter.add(Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8)), StandardCharsets.UTF_8));
        }
        assertEquals(STREAM, output.toString());
        assertFalse(splitter.hasPartialEvent());
    }

    private String add(String text) {
        return new String(scanner.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }
}
