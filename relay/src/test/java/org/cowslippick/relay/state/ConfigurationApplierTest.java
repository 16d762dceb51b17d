package org.cowslippick.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.fleet.http.BoundedJson;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.relay.store.StoreObject;
import org.junit.jupiter.api.Test;

class ConfigurationApplierTest {

    private final RoutingState routing = new RoutingState();
    private final List<RelayEvent> events = new ArrayList<>();
    private final ConfigurationApplier applier =
            new ConfigurationApplier(routing, ConfigurationApplierTest::decode, () -> {}, events::add);

    /** An older configuration stayed in force for good, and only a log line told of it. */
    @Test
    void configurationThatCannotBeAppliedIsCounted() throws Exception {
        apply("{\"version\":1}");
        apply("{\"version\":-2}");
        assertEquals(1, routing.current().version());
        assertEquals(List.of(RelayEvent.CONFIGURATION_UNREADABLE), events);
        applier.applyFromPeer(new ConfigurationDocument(3, "{\"version\":"));
        assertEquals(2, events.size());
        apply("{\"version\":4}");
        assertEquals(4, routing.current().version());
        assertEquals(2, events.size());
    }

    private void apply(String text) throws Exception {
        applier.applyFromStore(new StoreObject("main", 1, BoundedJson.read(text), MissingNode.getInstance()));
    }

    private static RoutingTable decode(JsonNode spec) {
        long version = spec.path("version").asLong();
        if (version < 0) {
            throw new IllegalArgumentException("version is negative: " + version);
        }
        return new RoutingTable(
                version,
                ImmutableList.of(),
                ImmutableList.of(),
                CallerLimits.DEFAULT,
                ImmutableMap.of(),
                ImmutableMap.of());
    }
}
