package org.cowslippick.relay.forwarding;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.core.routing.Quota;
import org.cowslippick.core.routing.Route;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.message.CallerRequest;
import org.cowslippick.relay.stream.StreamIds;

/**
 * The routing decision for an admitted request.
 *
 * @param version the version of the configuration used for the decision
 * @param organisation empty where callers need no credential
 */
record Admission(
        long version, Route route, ServiceName service, Optional<OrganisationAccess> organisation, long quotaCost) {

    private static final Duration RETRY_AFTER_NO_CONFIGURATION = Duration.ofSeconds(1);

    /** Checks route and credential, but not the quota. */
    static Either<Failure, Admission> of(CallerRequest request, RoutingTable table) {
        if (!table.isKnown()) {
            return Either.left(Failure.retryAfter(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "this instance has no configuration yet",
                    RETRY_AFTER_NO_CONFIGURATION));
        }
        Optional<Route> route = table.match(request.host(), request.path());
        if (route.isEmpty()) {
            return Either.left(Failure.of(ErrorKind.UNKNOWN_PATH, "no route matches this host and path"));
        }
        Optional<OrganisationAccess> organisation = request.credential().flatMap(table::organisation);
        boolean requiresCredential = table.hasOrganisations() && !route.get().anonymous();
        if (requiresCredential && organisation.isEmpty()) {
            return Either.left(Failure.of(ErrorKind.UNAUTHENTICATED, "the credential is missing or unknown"));
        }
        ServiceName service = route.get().selectService(draw(request, route.get()));
        long cost = organisation
                .map(OrganisationAccess::quota)
                .filter(Quota::isLimited)
                .map(quota -> quota.cost(request.declaredTokens()))
                .orElse(0L);
        return Either.right(new Admission(table.version(), route.get(), service, organisation, cost));
    }

    /** Equal for a stream and all requests that resume it, which thus go to the same service of a split route. */
    private static double draw(CallerRequest request, Route route) {
        return route.kind() == RouteKind.EVENT_STREAM
                ? StreamIds.fraction(StreamIds.of(request.firstAttempt()))
                : ThreadLocalRandom.current().nextDouble();
    }

    /** The rank of the organisation, or that of the route if the organisation has none. */
    int rank() {
        return organisation.flatMap(OrganisationAccess::rank).orElseGet(route::rank);
    }

    /** How long the request may take: as long as the caller waits, but at most the timeout of the route. */
    Duration timeout(CallerRequest request) {
        Duration routeTimeout = route.timeout();
        return request.remainingMilliseconds()
                .map(Duration::ofMillis)
                .filter(remaining -> remaining.compareTo(routeTimeout) < 0)
                .orElse(routeTimeout);
    }
}
