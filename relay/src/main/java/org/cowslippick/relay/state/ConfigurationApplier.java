package org.cowslippick.relay.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.fleet.http.BoundedJson;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.relay.store.StoreObject;
import org.jboss.logging.Logger;

/**
 * Puts configurations in force that come from the store or from another instance. One that is malformed is logged and
 * counted, and the one before stays in force.
 */
public final class ConfigurationApplier {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.platform");
    private static final String STORE = "store";
    private static final String PEER = "another instance";

    private final RoutingState routing;
    private final Function<JsonNode, RoutingTable> decoder;
    private final Runnable onApplied;
    private final Consumer<RelayEvent> counter;

    /**
     * Creates an applier.
     *
     * @param decoder throws {@link IllegalArgumentException} or {@link ArithmeticException} if the document is malformed
     * @param onApplied called after each document that could be decoded
     */
    public ConfigurationApplier(
            RoutingState routing,
            Function<JsonNode, RoutingTable> decoder,
            Runnable onApplied,
            Consumer<RelayEvent> counter) {
        this.routing = routing;
        this.decoder = decoder;
        this.onApplied = onApplied;
        this.counter = counter;
    }

    public void applyFromStore(StoreObject object) {
        try {
            apply(object.spec(), STORE);
        } catch (IllegalArgumentException | ArithmeticException malformed) {
            reportUnreadable(STORE, object.revision(), malformed);
        }
    }

    public void applyFromPeer(ConfigurationDocument document) {
        try {
            apply(BoundedJson.read(document.text()), PEER);
        } catch (JsonProcessingException | IllegalArgumentException | ArithmeticException malformed) {
            reportUnreadable(PEER, document.version(), malformed);
        }
    }

    private void apply(JsonNode spec, String source) {
        routing.applyIfNewer(decoder.apply(spec), BoundedJson.write(spec), source);
        onApplied.run();
    }

    private void reportUnreadable(String source, long version, Exception malformed) {
        counter.accept(RelayEvent.CONFIGURATION_UNREADABLE);
        LOGGER.error(LogLine.of("configuration-unreadable")
                .with("source", source)
                .with("version", version)
                .with("cause", String.valueOf(malformed.getMessage())));
    }
}
