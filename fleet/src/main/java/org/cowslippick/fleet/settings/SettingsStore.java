package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.settings.SettingChange;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.StoredObject;
import org.cowslippick.fleet.settings.SettingsObjects.VersionedRoot;

/** Commits settings: chunks first, then one conditional update of the root. Futures never complete exceptionally. */
public final class SettingsStore {

    private static final int MAXIMUM_ROUNDS = 5;
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(500);
    private static final int RECORDED_CHANGES = 20;

    private final SettingsObjects objects;
    private final TimerService timer;
    private final AtomicReference<SettingsSnapshot> loaded = new AtomicReference<>(SettingsSnapshot.EMPTY);

    public SettingsStore(Platform platform, TimerService timer) {
        this.objects = new SettingsObjects(platform);
        this.timer = timer;
    }

    /** Reads the whole settings from the platform. */
    public CompletableFuture<Either<PlatformFault, SettingsSnapshot>> load() {
        return SettingsLoader.load(objects, loaded.get()).thenApply(found -> found.peek(loaded::set));
    }

    /** Checks the whole document and commits it if nobody committed since its base; returns the new revision. */
    public CompletableFuture<Either<SettingsRejection, Long>> commit(SettingsProposal proposal) {
        return SettingsTree.of(proposal.document())
                .fold(
                        faults -> completed(Either.left(SettingsRejection.invalid(faults))),
                        _tree -> attempt(new Attempt(proposal, UUID.randomUUID().toString(), 0, false)));
    }

    /** One round of a commit; {@code lost} once the answer of a write of the root was lost. */
    private record Attempt(SettingsProposal proposal, String token, int round, boolean lost) {

        Attempt again(boolean nowLost) {
            return new Attempt(proposal, token, round + 1, lost || nowLost);
        }

        Either<SettingsRejection, Long> failed(String detail) {
            ErrorKind kind = lost ? ErrorKind.SETTINGS_OUTCOME_UNKNOWN : ErrorKind.PLATFORM_UNAVAILABLE;
            return Either.left(SettingsRejection.of(kind, detail));
        }
    }

    private CompletableFuture<Either<SettingsRejection, Long>> attempt(Attempt attempt) {
        if (attempt.round() == MAXIMUM_ROUNDS) {
            return completed(attempt.failed("no write of the root was confirmed"));
        }
        return objects.versionedRoot()
                .thenCompose(found -> found.fold(
                        fault -> fault == PlatformFault.UNAVAILABLE && attempt.lost()
                                ? later(attempt.again(true))
                                : completed(attempt.failed("the root cannot be read: " + fault)),
                        root -> onRoot(attempt, root)));
    }

    private CompletableFuture<Either<SettingsRejection, Long>> later(Attempt attempt) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timer.after(READ_BACK_DELAY, () -> elapsed.complete(null));
        return elapsed.thenCompose(_elapsed -> attempt(attempt));
    }

    private CompletableFuture<Either<SettingsRejection, Long>> onRoot(Attempt attempt, VersionedRoot current) {
        SettingsRoot root = current.root();
        if (root.revisionOf(attempt.token()).isPresent()) {
            return completed(Either.right(root.revisionOf(attempt.token()).get()));
        }
        if (root.revision() != attempt.proposal().baseRevision()) {
            return conflict(attempt.proposal(), root);
        }
        return loadChunks(root)
                .thenCompose(loaded -> loaded.fold(
                        fault -> completed(attempt.failed("a chunk cannot be read: " + fault)),
                        snapshot -> write(attempt, current, snapshot)));
    }

    private CompletableFuture<Either<SettingsRejection, Long>> write(
            Attempt attempt, VersionedRoot current, SettingsSnapshot before) {
        ImmutableMap<String, String> chunks =
                SettingsChunks.cut(attempt.proposal().document());
        ImmutableList<CompletableFuture<Either<PlatformFault, StoredObject>>> writes = chunks.entrySet().stream()
                .filter(chunk -> !current.root().chunks().contains(chunk.getKey()))
                .map(chunk -> objects.writeChunk(chunk.getKey(), chunk.getValue()))
                .collect(ImmutableList.toImmutableList());
        return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new)).thenCompose(_all -> {
            if (writes.stream().anyMatch(write -> write.join().isLeft())) {
                return attempt(attempt.again(false));
            }
            SettingsRoot next = current.root().next(chunks.keySet().asList(), record(attempt, before));
            return objects.writeRoot(current.version(), next)
                    .thenCompose(written -> afterWrite(attempt, next.revision(), written));
        });
    }

    private CompletableFuture<Either<SettingsRejection, Long>> afterWrite(
            Attempt attempt, long revision, Either<PlatformFault, StoredObject> written) {
        if (written.isRight()) {
            return completed(Either.right(revision));
        }
        return switch (written.getLeft()) {
            case ANSWER_LOST -> attempt(attempt.again(true));
            case CONFLICT, NOT_FOUND -> attempt(attempt.again(false));
            case UNAVAILABLE, TOO_LARGE, VERSION_TOO_OLD ->
                completed(attempt.failed("the root cannot be written: " + written.getLeft()));
        };
    }

    private CommitRecord record(Attempt attempt, SettingsSnapshot before) {
        ImmutableList<SettingChange> changes =
                before.tree().document().changesTo(attempt.proposal().document());
        List<String> recorded = changes.stream()
                .limit(RECORDED_CHANGES)
                .map(SettingChange::toString)
                .toList();
        return new CommitRecord(
                before.revision() + 1,
                attempt.token(),
                attempt.proposal().operator(),
                timer.now().toEpochMilli(),
                recorded,
                changes.size());
    }

    /** Names what others changed; where the history does not reach back, what differs from the proposal. */
    private CompletableFuture<Either<SettingsRejection, Long>> conflict(SettingsProposal proposal, SettingsRoot root) {
        ImmutableList<CommitRecord> since = root.since(proposal.baseRevision());
        boolean complete = since.size() == root.revision() - proposal.baseRevision()
                && since.stream()
                        .allMatch(commit ->
                                commit.changeCount() == commit.changes().size());
        if (complete) {
            return completed(Either.left(SettingsRejection.conflict(
                    root.revision(),
                    since.stream()
                            .flatMap(commit -> commit.changes().stream())
                            .collect(ImmutableList.toImmutableList()))));
        }
        return loadChunks(root)
                .thenApply(loaded -> Either.left(SettingsRejection.conflict(
                        root.revision(),
                        loaded.fold(_fault -> ImmutableList.of(), snapshot -> differences(proposal, snapshot)))));
    }

    /** Loads the root, with what was loaded before as a cache of chunks. */
    private CompletableFuture<Either<PlatformFault, SettingsSnapshot>> loadChunks(SettingsRoot root) {
        return SettingsLoader.loadChunks(objects, root, loaded.get()).thenApply(found -> found.peek(loaded::set));
    }

    private static ImmutableList<String> differences(SettingsProposal proposal, SettingsSnapshot current) {
        return proposal.document().changesTo(current.tree().document()).stream()
                .map(SettingChange::toString)
                .collect(ImmutableList.toImmutableList());
    }

    private static <R> CompletableFuture<R> completed(R result) {
        return CompletableFuture.completedFuture(result);
    }
}
