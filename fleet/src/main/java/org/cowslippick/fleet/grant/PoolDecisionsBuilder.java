package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.PoolDecisions;
import org.cowslippick.scheduler.pool.Refusal;

/** Combines the decisions of several scheduler calls within one step. */
final class PoolDecisionsBuilder {

    private final ImmutableList.Builder<Grant> grants = ImmutableList.builder();
    private final ImmutableList.Builder<Refusal> refusals = ImmutableList.builder();

    void add(PoolDecisions decisions) {
        grants.addAll(decisions.grants());
        refusals.addAll(decisions.refusals());
    }

    PoolDecisions build() {
        return new PoolDecisions(grants.build(), refusals.build());
    }
}
