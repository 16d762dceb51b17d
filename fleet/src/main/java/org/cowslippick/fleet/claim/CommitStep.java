package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;

/** What a group commit does next. */
public sealed interface CommitStep {

    /** Reads the partition's object. */
    record Read(GroupCommit commit) implements CommitStep {}

    /** Writes the object if its version still is the given one, or creates it. */
    record Write(GroupCommit commit, OptionalLong version, PartitionState state) implements CommitStep {}

    /**
     * Ends the commit.
     *
     * @param view what is now known of the object, if it is known
     */
    record Completed(ImmutableList<ClaimOperationResult> verdicts, Optional<PartitionView> view) implements CommitStep {}
}
