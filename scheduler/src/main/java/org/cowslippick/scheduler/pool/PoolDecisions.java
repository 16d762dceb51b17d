package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;

/** What a pool decided in one step, in order. */
public record PoolDecisions(ImmutableList<Grant> grants, ImmutableList<Refusal> refusals) {

    public static final PoolDecisions NONE = new PoolDecisions(ImmutableList.of(), ImmutableList.of());
}
