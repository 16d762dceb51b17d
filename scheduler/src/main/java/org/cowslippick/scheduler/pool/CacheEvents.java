package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.world.EndpointName;

/**
 * What an endpoint said of its prefix cache.
 *
 * @param stored hashes of prefixes that it now holds
 * @param evicted hashes of prefixes that it no longer holds
 * @param gap whether events before these were lost
 */
public record CacheEvents(
        EndpointName endpoint, ImmutableList<Long> stored, ImmutableList<Long> evicted, boolean gap) {}
