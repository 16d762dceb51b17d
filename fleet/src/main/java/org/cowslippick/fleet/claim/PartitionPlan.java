package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;

/**
 * The next state of a partition with the verdicts that hold once it is committed.
 *
 * @param changed whether the operations changed anything, expiry of old claims not counted
 */
public record PartitionPlan(PartitionState next, boolean changed, ImmutableList<ClaimOperationResult> verdicts) {

    /** Whether a newer state could give better verdicts, so that an old reading must not decide. */
    boolean dependsOnReading() {
        return !changed || verdicts.stream().anyMatch(verdict -> verdict.kind() == ClaimOperationResult.Kind.HELD_BY_OTHER);
    }
}
