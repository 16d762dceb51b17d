package org.cowslippick.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.routing.RoutingTable;
import org.junit.jupiter.api.Test;

class RoutingStateTest {

    private final RoutingState routing = new RoutingState();

    /** A confirmed configuration must never be reverted, although the store has lost it. */
    @Test
    void doesNotReturnToTheLowerVersionOfAnOlderCopy() {
        assertTrue(apply(12));
        assertFalse(apply(11));
        assertEquals(12, routing.current().version());
        assertFalse(apply(12));
        assertTrue(apply(13));
        assertEquals("configuration 13", routing.document().orElseThrow().text());
    }

    private boolean apply(long version) {
        RoutingTable table = new RoutingTable(
                version,
                ImmutableList.of(),
                ImmutableList.of(),
                CallerLimits.DEFAULT,
                ImmutableMap.of(),
                ImmutableMap.of());
        return routing.applyIfNewer(table, "configuration " + version, "store");
    }
}
