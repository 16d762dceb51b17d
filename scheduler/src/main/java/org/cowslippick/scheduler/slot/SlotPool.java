package org.cowslippick.scheduler.slot;

import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;

/** The endpoints of a service in one region, which share one queue. */
public record SlotPool(ServiceName service, Region region) {}
