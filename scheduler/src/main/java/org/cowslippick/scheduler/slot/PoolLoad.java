package org.cowslippick.scheduler.slot;

/**
 * The load of a pool.
 *
 * @param freeSlots free slots of usable endpoints
 * @param waiting requests that wait for a slot
 */
public record PoolLoad(int freeSlots, int waiting) {}
