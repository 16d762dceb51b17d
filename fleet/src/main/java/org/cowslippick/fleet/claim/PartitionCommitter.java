package org.cowslippick.fleet.claim;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.platform.ObjectKey;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.StoredObject;

/** Runs group commits on one partition, one at a time; operations that come meanwhile wait for the next commit. */
final class PartitionCommitter {

    static final int MAXIMUM_OBJECT_BYTES = 900_000;

    private static final int MAXIMUM_WAITING = 10_000;

    private final ObjectKey key;
    private final Platform platform;
    private final TimerService timer;
    private final List<Waiting> waiting = new ArrayList<>();
    private Optional<PartitionView> known = Optional.empty();
    private boolean committing;

    PartitionCommitter(ObjectKey key, Platform platform, TimerService timer) {
        this.key = key;
        this.platform = platform;
        this.timer = timer;
    }

    CompletableFuture<ClaimOperationResult> submit(ClaimOperation operation) {
        Waiting submitted = new Waiting(operation, new CompletableFuture<>());
        if (accepts(submitted)) {
            startCommit();
        } else {
            submitted.verdict().complete(new ClaimOperationResult(operation, ClaimOperationResult.Kind.NOT_COMMITTED));
        }
        return submitted.verdict();
    }

    private synchronized boolean accepts(Waiting submitted) {
        return waiting.size() < MAXIMUM_WAITING && waiting.add(submitted);
    }

    private void startCommit() {
        takeGroup().ifPresent(group -> perform(group.first(), group.members()));
    }

    private synchronized Optional<Group> takeGroup() {
        if (committing || waiting.isEmpty()) {
            return Optional.empty();
        }
        committing = true;
        ImmutableList<Waiting> members = ImmutableList.copyOf(waiting);
        waiting.clear();
        ImmutableList<ClaimOperation> operations =
                members.stream().map(Waiting::operation).collect(ImmutableList.toImmutableList());
        return Optional.of(new Group(members, GroupCommit.start(operations, known, timer.now())));
    }

    // The verdicts carry the outcome; nobody waits for the calls themselves.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void perform(CommitStep step, ImmutableList<Waiting> members) {
        if (step instanceof CommitStep.Read read) {
            platform.get(key).thenAccept(result -> perform(afterRead(read.commit(), result), members));
        } else if (step instanceof CommitStep.Write write) {
            write(write).thenAccept(result -> perform(afterWrite(write.commit(), result), members));
        } else if (step instanceof CommitStep.Completed settled) {
            settle(settled, members);
        }
    }

    private CompletableFuture<Either<PlatformFault, StoredObject>> write(CommitStep.Write write) {
        String value = PartitionCodec.write(write.state());
        if (value.getBytes(StandardCharsets.UTF_8).length > MAXIMUM_OBJECT_BYTES) {
            return CompletableFuture.completedFuture(Either.left(PlatformFault.TOO_LARGE));
        }
        return write.version().isPresent()
                ? platform.update(key, write.version().getAsLong(), value)
                : platform.create(key, value);
    }

    private static CommitStep afterRead(GroupCommit commit, Either<PlatformFault, StoredObject> result) {
        return result.fold(
                fault -> fault == PlatformFault.NOT_FOUND ? commit.read(PartitionView.ABSENT) : commit.failed(),
                object -> PartitionCodec.read(object.value())
                        .map(state -> commit.read(new PartitionView(OptionalLong.of(object.version()), state)))
                        .orElseGet(commit::failed));
    }

    private static CommitStep afterWrite(GroupCommit commit, Either<PlatformFault, StoredObject> result) {
        return result.fold(
                fault -> switch (fault) {
                    case CONFLICT, NOT_FOUND -> commit.conflicted();
                    case ANSWER_LOST -> commit.answerLost();
                    case UNAVAILABLE, TOO_LARGE, VERSION_TOO_OLD -> commit.failed();
                },
                object -> commit.written(object.version()));
    }

    private void settle(CommitStep.Completed settled, ImmutableList<Waiting> members) {
        synchronized (this) {
            known = settled.view();
            committing = false;
        }
        for (int index = 0; index < members.size(); index++) {
            members.get(index).verdict().complete(settled.verdicts().get(index));
        }
        startCommit();
    }

    private record Waiting(ClaimOperation operation, CompletableFuture<ClaimOperationResult> verdict) {}

    private record Group(ImmutableList<Waiting> members, CommitStep first) {}
}
