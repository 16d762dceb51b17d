package org.cowslippick.relay.client;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.Set;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.client.ClientConnection.EvictionReason;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.relay.metrics.RelayMetrics;
import org.jboss.logging.Logger;

/**
 * Bounds the connections at one address. A new connection over the limit takes the place of one that is idle or stalled; if
 * there is none, it is closed itself. All methods must be called on one event loop.
 */
public final class ConnectionLimit {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.client");

    private final int limit;
    private final TimerService timer;
    private final RelayMetrics metrics;
    private final Set<ClientConnection> open = Collections.newSetFromMap(new IdentityHashMap<>());

    public ConnectionLimit(int limit, TimerService timer, RelayMetrics metrics) {
        this.limit = limit;
        this.timer = timer;
        this.metrics = metrics;
    }

    /** Adds a new connection; returns false if it must be closed, as all others are being served. */
    public boolean tryAdd(ClientConnection connection) {
        if (open.size() >= limit) {
            Optional<ClientConnection> victim = EvictionOrder.forConnection(open, timer.nanoTime());
            metrics.count(RelayEvent.CLIENT_EVICTED_FOR_CONNECTIONS);
            LOGGER.info(LogLine.of("client-evicted")
                    .with("limit", EvictionReason.CONNECTIONS.text())
                    .with("connections", open.size())
                    .with("isNewcomer", victim.isEmpty()));
            if (victim.isEmpty()) {
                return false;
            }
            remove(victim.get());
            victim.get().evict(EvictionReason.CONNECTIONS);
        }
        open.add(connection);
        return true;
    }

    public void remove(ClientConnection connection) {
        open.remove(connection);
    }
}
