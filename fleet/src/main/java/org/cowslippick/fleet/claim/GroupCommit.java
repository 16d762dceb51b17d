package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The state machine that commits many operations on one partition in one conditional write. It performs no I/O: callers
 * report the outcome of each call and receive the next step. After a conflict or a lost response it reads the object
 * again; a claim found there under the attempt's own name was committed, whichever write did it.
 *
 * @param view the state that the pending write is based on
 * @param isFresh whether the view was read during this commit
 * @param failedWrites how many writes conflicted or lost their response
 * @param anyResponseLost whether the response to a write was lost, so that the write may still be carried out
 */
public record GroupCommit(
        ImmutableList<ClaimOperation> operations,
        Optional<PartitionView> view,
        boolean isFresh,
        int failedWrites,
        boolean anyResponseLost,
        Instant now) {

    private static final int MAXIMUM_WRITES = 5;

    /** Starts from the view that an earlier commit left, if there is one. */
    public static CommitStep start(
            ImmutableList<ClaimOperation> operations, Optional<PartitionView> known, Instant now) {
        GroupCommit commit = new GroupCommit(operations, known, false, 0, false, now);
        return known.isPresent() ? commit.nextStep() : new CommitStep.Read(commit);
    }

    /** The object was read. */
    public CommitStep onRead(PartitionView found) {
        return new GroupCommit(operations, Optional.of(found), true, failedWrites, anyResponseLost, now).nextStep();
    }

    /** The write succeeded and gave the object this version. */
    public CommitStep onWritten(long version) {
        PartitionPlan plan = plan();
        return new CommitStep.Completed(
                plan.results(), Optional.of(new PartitionView(OptionalLong.of(version), plan.next())));
    }

    /** The object had another version, so the write was not carried out. */
    public CommitStep onConflict() {
        return retry(anyResponseLost);
    }

    /** The write may have been carried out, now or later. */
    public CommitStep onResponseLost() {
        return retry(true);
    }

    /** A call was certainly not carried out, or the object would exceed its maximum size. */
    public CommitStep onFailure() {
        ClaimOperationResult.Kind kind =
                anyResponseLost ? ClaimOperationResult.Kind.IN_DOUBT : ClaimOperationResult.Kind.NOT_COMMITTED;
        ImmutableList<ClaimOperationResult> results = operations.stream()
                .map(operation -> new ClaimOperationResult(operation, kind))
                .collect(ImmutableList.toImmutableList());
        return new CommitStep.Completed(results, Optional.empty());
    }

    private CommitStep retry(boolean responseLost) {
        GroupCommit next = new GroupCommit(operations, Optional.empty(), false, failedWrites + 1, responseLost, now);
        return next.failedWrites() == MAXIMUM_WRITES ? next.onFailure() : new CommitStep.Read(next);
    }

    private CommitStep nextStep() {
        PartitionPlan plan = plan();
        if (plan.requiresFreshRead() && !isFresh) {
            return new CommitStep.Read(this);
        }
        return plan.changed()
                ? new CommitStep.Write(this, view.orElseThrow().version(), plan.next())
                : new CommitStep.Completed(plan.results(), view);
    }

    private PartitionPlan plan() {
        return view.orElseThrow().state().plan(operations, now);
    }
}
