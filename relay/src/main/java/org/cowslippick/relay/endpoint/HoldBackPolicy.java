package org.cowslippick.relay.endpoint;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.Region;

/** Which idle connections a request that must not run twice may use with its end held back. */
final class HoldBackPolicy {

    /** The longer a connection idles, the more likely the endpoint has dropped it without a word. */
    private static final long MAXIMUM_IDLE_NANOS = Duration.ofSeconds(2).toNanos();

    private static final long DISTRUST_NANOS = Duration.ofSeconds(5).toNanos();

    private final Region region;
    private final Map<String, Long> lastDeadNanos = new HashMap<>();

    /** Creates a policy for an instance of the region. */
    HoldBackPolicy(Region region) {
        this.region = region;
    }

    /** Whether the connection may be used; in other regions a round trip takes longer than the hold-back. */
    boolean allows(IdleConnection idle, long nowNanos) {
        return idle.isAnnounced()
                && idle.endpoint().failureDomain().region().equals(region)
                && idle.idleNanos(nowNanos) < MAXIMUM_IDLE_NANOS
                && !isDistrusted(idle.endpoint(), nowNanos);
    }

    private boolean isDistrusted(LiveEndpoint endpoint, long nowNanos) {
        Long dead = lastDeadNanos.get(endpoint.id());
        return dead != null && nowNanos - dead < DISTRUST_NANOS;
    }

    /** Records that a kept connection to the endpoint was found dead. */
    void recordDead(LiveEndpoint endpoint, long nowNanos) {
        lastDeadNanos.values().removeIf(dead -> nowNanos - dead >= DISTRUST_NANOS);
        lastDeadNanos.put(endpoint.id(), nowNanos);
    }
}
