package org.cowslippick.scheduler.slot;

import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;

/** Identifies the endpoints of a service in one region, which share a queue. */
public record SlotPool(ServiceName service, Region region) {

    /** The pool that the endpoint belongs to. */
    public static SlotPool of(LiveEndpoint endpoint) {
        return new SlotPool(endpoint.service(), endpoint.failureDomain().region());
    }
}
