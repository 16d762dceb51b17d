package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;

/** The state of a pool at one point in time. */
public record PoolSnapshot(int queued, ImmutableList<EndpointSnapshot> endpoints) {}
