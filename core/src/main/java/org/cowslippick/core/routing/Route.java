package org.cowslippick.core.routing;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Comparator;
import java.util.stream.Stream;
import org.cowslippick.core.world.ServiceName;

/**
 * Maps the requests of one host and path prefix to services.
 *
 * @param shares the services among which requests are split by weight; at least one
 * @param timeout the maximum time until the complete response
 * @param target the latency target until the response, or until the first event of a stream
 * @param maximumPause the target for the maximum gap between two events of a stream; zero if unbounded
 * @param rank 0 is the most urgent; overridden by the rank of the organisation
 * @param maximumEndpoints the maximum number of endpoints that one request is sent to
 * @param anonymous whether callers need no credential
 * @param resumable whether another endpoint can continue a stream after a given event
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        ImmutableList<ServiceShare> shares,
        Duration timeout,
        Duration target,
        Duration maximumPause,
        int rank,
        int maximumEndpoints,
        boolean anonymous,
        boolean resumable) {

    /** The protocol sets the event timeout to the maximum of this, four times the target and eight times the pause. */
    private static final Duration MINIMUM_EVENT_TIMEOUT = Duration.ofSeconds(2);

    public Route {
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no services");
        }
        if (timeout.isNegative() || timeout.isZero()) {
            throw new IllegalArgumentException("timeout of route " + name + " must be positive: " + timeout);
        }
    }

    /** Whether a request that may have run may be sent to another endpoint. */
    public boolean allowsRetryAfterStart() {
        return kind.allowsRetryAfterStart(resumable);
    }

    /** How long a caller waits for the first or the next event of a stream before it disconnects. */
    public Duration eventTimeout() {
        return Stream.of(MINIMUM_EVENT_TIMEOUT, target.multipliedBy(4), maximumPause.multipliedBy(8))
                .max(Comparator.naturalOrder())
                .orElseThrow();
    }

    /** Selects a service by weight, given a uniform random number from 0 (inclusive) to 1 (exclusive). */
    public ServiceName selectService(double uniformRandom) {
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        double remaining = uniformRandom * total;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
