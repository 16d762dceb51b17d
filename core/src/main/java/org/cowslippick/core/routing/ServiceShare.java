package org.cowslippick.core.routing;

import org.cowslippick.core.world.ServiceName;

/** A service and its relative weight among the services of a route. */
public record ServiceShare(ServiceName service, double weight) {

    public ServiceShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of service " + service + " must not be negative: " + weight);
        }
    }
}
