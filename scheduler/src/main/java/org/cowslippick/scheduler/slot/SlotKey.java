package org.cowslippick.scheduler.slot;

import org.cowslippick.core.world.InstanceName;

/** Names one wait for a slot: the instance that holds the caller, and a number that it never uses twice. */
public record SlotKey(InstanceName instance, long number) {}
