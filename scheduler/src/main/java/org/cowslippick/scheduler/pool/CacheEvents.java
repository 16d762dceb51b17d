package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.world.EndpointName;

/**
 * Events of an endpoint's prefix cache.
 *
 * @param stored the hashes of prefixes added to the cache
 * @param evicted the hashes of prefixes evicted from the cache
 * @param gap whether earlier events were lost
 */
public record CacheEvents(
        EndpointName endpoint, ImmutableList<Long> stored, ImmutableList<Long> evicted, boolean gap) {}
