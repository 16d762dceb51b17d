package org.cowslippick.scheduler.pool;

import org.cowslippick.core.world.EndpointName;

/**
 * What an endpoint said of its own load.
 *
 * @param ageNanos how old the report was when it arrived
 * @param cacheUsedShare the share of the key-value cache in use, from 0 to 1
 */
public record LoadReport(EndpointName endpoint, int running, int waiting, double cacheUsedShare, long ageNanos) {}
