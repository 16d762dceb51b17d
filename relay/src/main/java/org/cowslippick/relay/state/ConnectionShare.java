package org.cowslippick.relay.state;

import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.cowslippick.core.routing.RoutedService;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.world.ServiceName;

/**
 * The number of connections to one endpoint that this instance may keep idle for long. All instances share the connections
 * that an endpoint accepts, and half of these stay free for new ones.
 */
public final class ConnectionShare implements ToIntFunction<ServiceName> {

    private static final int CONNECTIONS_PER_KEPT = 2;

    private final Supplier<RoutingTable> routing;
    private final InstanceDirectory instances;

    public ConnectionShare(Supplier<RoutingTable> routing, InstanceDirectory instances) {
        this.routing = routing;
        this.instances = instances;
    }

    /** At least one, as a connection in use would take its place; 0 for a service that is not configured. */
    @Override
    public int applyAsInt(ServiceName service) {
        int sharers = CONNECTIONS_PER_KEPT * (instances.others().size() + 1);
        return routing.get()
                .service(service)
                .map(RoutedService::maximumConnections)
                .map(maximum -> Math.max(1, maximum / sharers))
                .orElse(0);
    }
}
