package org.cowslippick.scheduler.pool;

import org.cowslippick.core.world.EndpointName;

/**
 * The load that an endpoint reported.
 *
 * @param ageNanos the age of the report on arrival
 * @param cacheUsedShare the used share of the key-value cache, from 0 to 1
 */
public record LoadReport(EndpointName endpoint, int running, int waiting, double cacheUsedShare, long ageNanos) {}
