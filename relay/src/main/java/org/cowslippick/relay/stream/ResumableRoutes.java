package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.function.Supplier;
import org.cowslippick.core.routing.Route;
import org.cowslippick.core.routing.RouteKind;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.routing.ServiceShare;
import org.cowslippick.core.world.ServiceName;

/** What the routes in force say about streams that can be resumed. */
public final class ResumableRoutes {

    /** Allows for streams that began under the routes of an earlier configuration. */
    private static final Duration MINIMUM_WINDOW = Duration.ofSeconds(20);

    /** Between the end of a route's time limit and the moment at which everyone has noticed it. */
    private static final Duration MARGIN = Duration.ofSeconds(5);

    private final Supplier<RoutingTable> routing;
    private RoutingTable known = RoutingTable.NONE;
    private ImmutableSet<ServiceName> services = ImmutableSet.of();
    private Duration window = MINIMUM_WINDOW;

    public ResumableRoutes(Supplier<RoutingTable> routing) {
        this.routing = routing;
    }

    /** How long after its first event a stream may still be resumed. */
    public long windowNanos() {
        update();
        return window.toNanos();
    }

    /** The services whose streams can be resumed. */
    public ImmutableSet<ServiceName> services() {
        update();
        return services;
    }

    /** Whether streams of the service can be resumed; without a configuration they may be. */
    public boolean isResumable(ServiceName service) {
        update();
        return !known.isKnown() || services.contains(service);
    }

    private void update() {
        RoutingTable current = routing.get();
        if (current == known) {
            return;
        }
        known = current;
        services = current.routes().stream()
                .filter(ResumableRoutes::isResumable)
                .flatMap(route -> route.shares().stream())
                .map(ServiceShare::service)
                .collect(ImmutableSet.toImmutableSet());
        window = current.routes().stream()
                .filter(ResumableRoutes::isResumable)
                .map(route -> route.timeout().plus(MARGIN))
                .reduce(MINIMUM_WINDOW, (one, other) -> one.compareTo(other) > 0 ? one : other);
    }

    /** Whether a caller, or the relay, may resume the streams of the route. */
    public static boolean isResumable(Route route) {
        return route.kind() == RouteKind.EVENT_STREAM && route.resumable();
    }
}
