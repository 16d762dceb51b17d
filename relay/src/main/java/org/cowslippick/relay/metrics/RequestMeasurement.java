package org.cowslippick.relay.metrics;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.routing.RouteKind;

/**
 * A request that has ended.
 *
 * @param result as in the request log
 * @param rank 0 is the most urgent
 * @param waited from arrival to the last grant of a slot; empty if no slot was granted
 * @param first from arrival to the first part of the response; empty if there was none
 * @param total from arrival to the end
 */
public record RequestMeasurement(
        String result, int rank, RouteKind kind, Optional<Duration> waited, Optional<Duration> first, Duration total) {}
