package org.cowslippick.relay.flow;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.routing.Route;
import org.cowslippick.relay.message.CallerRequest;

/**
 * Tells attempts of callers who come back from first ones. The callers of a route wait equally long; one that says that
 * it has less time left than others did has used the difference already.
 */
final class CallerPatience {

    /** Differences below this come from the way of the request. */
    private static final long NOTED_FROM_MILLISECONDS = 150;

    private static final int MAXIMUM_ROUTES = 10_000;

    private final Map<String, Long> longestMilliseconds = new HashMap<>();

    Duration waitedBefore(Route route, CallerRequest request) {
        long remaining = request.remainingMilliseconds().orElse(0L);
        if (longestMilliseconds.size() < MAXIMUM_ROUTES) {
            longestMilliseconds.merge(route.name(), remaining, Math::max);
        }
        long used = longestMilliseconds.getOrDefault(route.name(), remaining) - remaining;
        return used < NOTED_FROM_MILLISECONDS ? Duration.ZERO : Duration.ofMillis(used);
    }
}
