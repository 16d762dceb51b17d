package org.cowslippick.scheduler.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.cowslippick.core.world.ServiceName;
import org.junit.jupiter.api.Test;

class StreamOriginsTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final long WINDOW = 100;

    private final StreamOrigins origins = new StreamOrigins(() -> WINDOW);

    private boolean record(long stream, String version, long now) {
        return origins.record(new StreamOrigin(SERVICE, stream, version), now);
    }

    @Test
    void findsTheVersionThatBeganAStream() {
        assertTrue(record(1, "v1", 0));
        assertTrue(record(2, "v2", 0));
        assertFalse(record(1, "v1", 1));
        assertEquals(Optional.of("v1"), origins.find(SERVICE, 1));
        assertEquals(Optional.of("v2"), origins.find(SERVICE, 2));
        assertEquals(Optional.empty(), origins.find(new ServiceName("other"), 1));
    }

    /** Guards against a guess between two answers. */
    @Test
    void streamWithTwoVersionsIsUnknown() {
        record(1, "v1", 0);
        record(1, "v2", 1);
        assertEquals(Optional.empty(), origins.find(SERVICE, 1));
        record(1, "v1", 2);
        assertEquals(Optional.empty(), origins.find(SERVICE, 1));
    }

    /** Guards against a stream that is resumed several times and outlives the window. */
    @Test
    void resumedStreamIsKept() {
        record(1, "v1", 0);
        record(1, "v1", WINDOW);
        record(2, "v1", WINDOW + 1);
        assertEquals(Optional.of("v1"), origins.find(SERVICE, 1));
    }

    /** Guards against memory that grows with the number of streams. */
    @Test
    void forgetsStreamsThatNobodyCanResume() {
        record(1, "v1", 0);
        record(2, "v1", WINDOW + 1);
        assertEquals(Optional.empty(), origins.find(SERVICE, 1));
        assertEquals(1, origins.size());
    }
}
