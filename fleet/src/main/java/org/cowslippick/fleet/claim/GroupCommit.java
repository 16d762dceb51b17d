package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The state machine that commits many operations on one partition in one conditional write. It does no I/O: it is told
 * what a call gave and says what to do next. After a conflict or a lost answer it reads the object back; a claim that
 * stands there in the attempt's own name was committed, whichever write did it.
 *
 * @param view the reading that the pending write is based on
 * @param fresh whether the view was read during this commit
 * @param round how many writes came to nothing or were lost
 * @param lost whether the answer of a write was lost, so that it may still be carried out
 */
public record GroupCommit(
        ImmutableList<ClaimOperation> operations,
        Optional<PartitionView> view,
        boolean fresh,
        int round,
        boolean lost,
        Instant now) {

    private static final int MAXIMUM_ROUNDS = 5;

    /** Starts from what an earlier commit left known, if anything. */
    public static CommitStep start(
            ImmutableList<ClaimOperation> operations, Optional<PartitionView> known, Instant now) {
        GroupCommit commit = new GroupCommit(operations, known, false, 0, false, now);
        return known.isPresent() ? commit.consider() : new CommitStep.Read(commit);
    }

    /** The object was read. */
    public CommitStep read(PartitionView found) {
        return new GroupCommit(operations, Optional.of(found), true, round, lost, now).consider();
    }

    /** The write was carried out and gave the object this version. */
    public CommitStep written(long version) {
        PartitionPlan plan = plan();
        return new CommitStep.Completed(
                plan.verdicts(), Optional.of(new PartitionView(OptionalLong.of(version), plan.next())));
    }

    /** The write met another version, so it was not carried out. */
    public CommitStep conflicted() {
        return again(lost);
    }

    /** The answer of the write was lost. */
    public CommitStep answerLost() {
        return again(true);
    }

    /** A call was certainly not carried out, or the object is full. */
    public CommitStep failed() {
        ClaimOperationResult.Kind verdict = lost ? ClaimOperationResult.Kind.IN_DOUBT : ClaimOperationResult.Kind.NOT_COMMITTED;
        ImmutableList<ClaimOperationResult> verdicts = operations.stream()
                .map(operation -> new ClaimOperationResult(operation, verdict))
                .collect(ImmutableList.toImmutableList());
        return new CommitStep.Completed(verdicts, Optional.empty());
    }

    private CommitStep again(boolean anyLost) {
        GroupCommit next = new GroupCommit(operations, Optional.empty(), false, round + 1, anyLost, now);
        return next.round() == MAXIMUM_ROUNDS ? next.failed() : new CommitStep.Read(next);
    }

    private CommitStep consider() {
        PartitionPlan plan = plan();
        if (plan.dependsOnReading() && !fresh) {
            return new CommitStep.Read(this);
        }
        return plan.changed()
                ? new CommitStep.Write(this, view.orElseThrow().version(), plan.next())
                : new CommitStep.Completed(plan.verdicts(), view);
    }

    private PartitionPlan plan() {
        return view.orElseThrow().state().plan(operations, now);
    }
}
