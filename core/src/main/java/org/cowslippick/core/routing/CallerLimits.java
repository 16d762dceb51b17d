package org.cowslippick.core.routing;

import java.time.Duration;

/** What a caller may send, and how long it may take or stay idle. */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** In force until the first configuration is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
