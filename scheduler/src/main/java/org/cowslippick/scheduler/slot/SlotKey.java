package org.cowslippick.scheduler.slot;

import org.cowslippick.core.world.InstanceName;

/** Identifies a request for a slot by the instance that serves the caller and a number unique in that instance. */
public record SlotKey(InstanceName instance, long number) {}
