package org.cowslippick.relay.state;

import java.util.Optional;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/** The configuration in force. Its version never decreases. */
public final class RoutingState {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.configuration");

    private volatile RoutingTable table = RoutingTable.NONE;
    private volatile Optional<ConfigurationDocument> document = Optional.empty();

    public RoutingTable current() {
        return table;
    }

    /** The document of the version in force; empty until the first one is applied. */
    public Optional<ConfigurationDocument> document() {
        return document;
    }

    /** Applies the candidate if its version is higher than the one in force; returns whether it did. */
    public boolean applyIfNewer(RoutingTable candidate, String text, String source) {
        if (candidate.version() <= table.version()) {
            return false;
        }
        LOGGER.info(LogLine.of("configuration-applied")
                .with("version", candidate.version())
                .with("before", table.version())
                .with("routes", candidate.routes().size())
                .with("source", source));
        table = candidate;
        document = Optional.of(new ConfigurationDocument(candidate.version(), text));
        return true;
    }
}
