package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;

/** The decisions of a pool in one step, in order. */
public record PoolDecisions(ImmutableList<Grant> grants, ImmutableList<Refusal> refusals) {

    public static final PoolDecisions NONE = new PoolDecisions(ImmutableList.of(), ImmutableList.of());
}
