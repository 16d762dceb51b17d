package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;

/** What a pool looks like at one moment. */
public record PoolSnapshot(int queued, ImmutableList<EndpointSnapshot> endpoints) {}
