package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;

/**
 * The planned next state of a partition, with the results that are valid once it is committed.
 *
 * @param changed whether the operations changed anything, apart from the expiry of old claims
 */
public record PartitionPlan(PartitionState next, boolean changed, ImmutableList<ClaimOperationResult> results) {

    /** Whether a newer state could give more favourable results, so that a cached view must not decide. */
    boolean requiresFreshRead() {
        return !changed
                || results.stream().anyMatch(result -> result.kind() == ClaimOperationResult.Kind.HELD_BY_OTHER);
    }
}
