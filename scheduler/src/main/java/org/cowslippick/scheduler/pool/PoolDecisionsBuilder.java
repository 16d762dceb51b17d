package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;

/** Builds the decisions of one step. */
final class PoolDecisionsBuilder {

    private final ImmutableList.Builder<Grant> grants = ImmutableList.builder();
    private final ImmutableList.Builder<Refusal> refusals = ImmutableList.builder();

    void grant(Grant grant) {
        grants.add(grant);
    }

    void refuse(RequestDescriptor request, Failure failure) {
        refusals.add(new Refusal(request.id(), request.entry(), failure));
    }

    PoolDecisions build() {
        return new PoolDecisions(grants.build(), refusals.build());
    }
}
