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
 * The memory that the process holds for the clients at all its addresses. When it exceeds the limit, connections are closed
 * until it does not. All methods must be called on one event loop.
 */
public final class ClientMemory {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.client");

    /** Above this share of the limit, responses are no longer buffered for callers that read slowly. */
    private static final double BUFFERING_SHARE = 0.5;

    private final long limitBytes;
    private final TimerService timer;
    private final RelayMetrics metrics;
    private final Set<ClientConnection> open = Collections.newSetFromMap(new IdentityHashMap<>());
    private long totalBytes;
    private boolean isEvicting;

    public ClientMemory(long limitBytes, TimerService timer, RelayMetrics metrics) {
        this.limitBytes = limitBytes;
        this.timer = timer;
        this.metrics = metrics;
    }

    /** The memory held for all clients. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Whether there is memory to buffer responses for callers that read slowly. */
    public boolean hasRoomForResponses() {
        return totalBytes < BUFFERING_SHARE * limitBytes;
    }

    /** Adds a connection for which nothing is held yet. */
    public void add(ClientConnection connection) {
        open.add(connection);
    }

    /** Records that the process holds more, or less, for a connection; closes connections if that exceeds the limit. */
    public void change(long addedBytes) {
        totalBytes += addedBytes;
        if (totalBytes > limitBytes && !isEvicting) {
            evict();
        }
    }

    /** Forgets a closed connection; has no effect if it is forgotten already. */
    public void remove(ClientConnection connection) {
        if (open.remove(connection)) {
            totalBytes -= connection.heldBytes();
        }
    }

    private void evict() {
        isEvicting = true;
        Optional<ClientConnection> victim = nextVictim();
        while (totalBytes > limitBytes && victim.isPresent()) {
            close(victim.get());
            victim = nextVictim();
        }
        isEvicting = false;
    }

    private Optional<ClientConnection> nextVictim() {
        return EvictionOrder.forMemory(open, timer.nanoTime());
    }

    private void close(ClientConnection victim) {
        metrics.count(RelayEvent.CLIENT_EVICTED_FOR_MEMORY);
        LOGGER.info(LogLine.of("client-evicted")
                .with("limit", EvictionReason.MEMORY.text())
                .with("limitBytes", limitBytes)
                .with("totalBytes", totalBytes)
                .with("heldBytes", victim.heldBytes()));
        remove(victim);
        victim.evict(EvictionReason.MEMORY);
    }
}
