package org.cowslippick.core.routing;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Comparator;
import java.util.stream.Stream;
import org.cowslippick.core.world.ServiceName;

/**
 * Where the requests of one host and path prefix go.
 *
 * @param shares the services that share the route's requests; at least one
 * @param timeout the longest time that a caller is kept waiting for a whole answer
 * @param target the time to the answer, or to the first event of a stream, within which the answer is on time
 * @param maximumPause the longest pause between two events with which a stream is on time; zero if there is no bound
 * @param rank 0 is the most urgent; an organisation's own rank goes before it
 * @param maximumEndpoints the most endpoints to which one request may be sent
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

    /** From the protocol: the longest of this, four targets and eight pauses. */
    private static final Duration SHORTEST_EVENT_PATIENCE = Duration.ofSeconds(2);

    public Route {
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " names no service");
        }
        if (timeout.isNegative() || timeout.isZero()) {
            throw new IllegalArgumentException("timeout of route " + name + " must be positive: " + timeout);
        }
    }

    /** Whether a request that may have run may be sent to another endpoint. */
    public boolean allowsRetryAfterStart() {
        return kind.allowsRetryAfterStart(resumable);
    }

    /** How long a caller waits for the first event of a stream, or for the next, before it leaves. */
    public Duration eventTimeout() {
        return Stream.of(SHORTEST_EVENT_PATIENCE, target.multipliedBy(4), maximumPause.multipliedBy(8))
                .max(Comparator.naturalOrder())
                .orElseThrow();
    }

    /** The service for a draw from 0 (inclusive) to 1 (exclusive), by weight. */
    public ServiceName selectService(double draw) {
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        double remaining = draw * total;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
