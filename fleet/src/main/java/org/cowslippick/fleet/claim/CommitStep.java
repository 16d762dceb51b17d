package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;

/** The next step of a group commit. */
public sealed interface CommitStep {

    /** Reads the partition's object. */
    record Read(GroupCommit commit) implements CommitStep {}

    /** Writes the object if it still has the version; creates it if the version is empty. */
    record Write(GroupCommit commit, OptionalLong version, PartitionState state) implements CommitStep {}

    /**
     * Ends the commit.
     *
     * @param view the state of the object after the commit, if it is known
     */
    record Completed(ImmutableList<ClaimOperationResult> results, Optional<PartitionView> view) implements CommitStep {}
}
