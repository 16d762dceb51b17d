package org.cowslippick.scheduler.slot;

/**
 * How busy a pool is.
 *
 * @param freeSlots slots of usable endpoints that hold no request
 * @param waiting requests that wait for one
 */
public record PoolLoad(int freeSlots, int waiting) {}
