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

/** Runs group commits on one partition one at a time; operations submitted meanwhile wait for the next commit. */
final class PartitionCommitter {

    static final int MAXIMUM_OBJECT_BYTES = 900_000;

    private static final int MAXIMUM_PENDING = 10_000;

    private final ObjectKey key;
    private final Platform platform;
    private final TimerService timer;
    private final List<PendingOperation> pending = new ArrayList<>();
    private Optional<PartitionView> lastView = Optional.empty();
    private boolean committing;

    PartitionCommitter(ObjectKey key, Platform platform, TimerService timer) {
        this.key = key;
        this.platform = platform;
        this.timer = timer;
    }

    CompletableFuture<ClaimOperationResult> submit(ClaimOperation operation) {
        PendingOperation submitted = new PendingOperation(operation, new CompletableFuture<>());
        if (enqueue(submitted)) {
            startCommit();
        } else {
            submitted.result().complete(new ClaimOperationResult(operation, ClaimOperationResult.Kind.NOT_COMMITTED));
        }
        return submitted.result();
    }

    private synchronized boolean enqueue(PendingOperation submitted) {
        return pending.size() < MAXIMUM_PENDING && pending.add(submitted);
    }

    private void startCommit() {
        takePendingGroup().ifPresent(group -> execute(group.first(), group.members()));
    }

    private synchronized Optional<Group> takePendingGroup() {
        if (committing || pending.isEmpty()) {
            return Optional.empty();
        }
        committing = true;
        ImmutableList<PendingOperation> members = ImmutableList.copyOf(pending);
        pending.clear();
        ImmutableList<ClaimOperation> operations =
                members.stream().map(PendingOperation::operation).collect(ImmutableList.toImmutableList());
        return Optional.of(new Group(members, GroupCommit.start(operations, lastView, timer.now())));
    }

    // The results of the operations carry the outcome; no caller waits for the calls themselves.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void execute(CommitStep step, ImmutableList<PendingOperation> members) {
        if (step instanceof CommitStep.Read read) {
            platform.get(key).thenAccept(result -> execute(afterRead(read.commit(), result), members));
        } else if (step instanceof CommitStep.Write write) {
            write(write).thenAccept(result -> execute(afterWrite(write.commit(), result), members));
        } else if (step instanceof CommitStep.Completed completed) {
            complete(completed, members);
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
                fault -> fault == PlatformFault.NOT_FOUND ? commit.onRead(PartitionView.ABSENT) : commit.onFailure(),
                object -> PartitionCodec.read(object.value())
                        .map(state -> commit.onRead(new PartitionView(OptionalLong.of(object.version()), state)))
                        .orElseGet(commit::onFailure));
    }

    private static CommitStep afterWrite(GroupCommit commit, Either<PlatformFault, StoredObject> result) {
        return result.fold(
                fault -> switch (fault) {
                    case CONFLICT, NOT_FOUND -> commit.onConflict();
                    case ANSWER_LOST -> commit.onResponseLost();
                    case UNAVAILABLE, TOO_LARGE, VERSION_TOO_OLD -> commit.onFailure();
                },
                object -> commit.onWritten(object.version()));
    }

    private void complete(CommitStep.Completed completed, ImmutableList<PendingOperation> members) {
        synchronized (this) {
            lastView = completed.view();
            committing = false;
        }
        for (int index = 0; index < members.size(); index++) {
            members.get(index).result().complete(completed.results().get(index));
        }
        startCommit();
    }

    private record PendingOperation(ClaimOperation operation, CompletableFuture<ClaimOperationResult> result) {}

    private record Group(ImmutableList<PendingOperation> members, CommitStep first) {}
}
