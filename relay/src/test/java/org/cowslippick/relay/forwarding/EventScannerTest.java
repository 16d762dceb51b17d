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
    void holdsBackAnEventWithoutItsEnd() {
        assertEquals("id: 1\ndata: a\n\n", add("id: 1\ndata: a\n\nid: 2\nda"));
        assertTrue(scanner.inEvent());
        assertEquals(Optional.of("1"), scanner.lastId());
    }

    @Test
    void goesOnAfterADroppedPart() {
        add("id: 1\ndata: a\n\nid: 2\nda");
        scanner.dropUnfinished();
        assertEquals("id: 2\ndata: b\n\n", add("id: 2\ndata: b\n\n"));
        assertFalse(scanner.inEvent());
    }

    @Test
    void readsEventsWithCarriageReturns() {
        assertEquals("id: 7\r\ndata: x\r\n\r\n", add("id: 7\r\ndata: x\r\n\r\n"));
        assertEquals(Optional.of("7"), scanner.lastId());
    }

    /** However the bytes are cut, what comes out is what went in. */
    @Property(tries = 100, seed = "5")
    void passesAllBytesOnHoweverTheyAreCut(@ForAll @IntRange(min = 1, max = 20) int size) {
        EventScanner cut = new EventScanner();
        StringBuilder out = new StringBuilder();
        for (int from = 0; from < STREAM.length(); from += size) {
            String part = STREAM.substring(from, Math.min(STREAM.length(), from + size));
            out.append(
                    new String(cut.add(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8)), StandardCharsets.UTF_8));
        }
        assertEquals(STREAM, out.toString());
        assertFalse(cut.inEvent());
    }

    private String add(String text) {
        return new String(scanner.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }
}
