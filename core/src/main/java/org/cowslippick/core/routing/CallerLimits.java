package org.cowslippick.core.routing;

import java.time.Duration;

/** Size limits and timeouts of caller connections. */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Applies until the first configuration is loaded. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
