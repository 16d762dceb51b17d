package org.cowslippick.core.routing;

import org.cowslippick.core.world.ServiceName;

/** A service that gets the given weight of a route's requests. */
public record ServiceShare(ServiceName service, double weight) {

    public ServiceShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of service " + service + " must not be negative: " + weight);
        }
    }
}
