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

    private static final int MAXIMUM_ATTEMPTS = 5;
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(500);
    private static final int MAXIMUM_RECORDED_CHANGES = 20;

    private final SettingsObjects objects;
    private final TimerService timer;
    private final AtomicReference<SettingsSnapshot> lastLoaded = new AtomicReference<>(SettingsSnapshot.EMPTY);

    public SettingsStore(Platform platform, TimerService timer) {
        this.objects = new SettingsObjects(platform);
        this.timer = timer;
    }

    /** Reads the current settings from the platform. */
    public CompletableFuture<Either<PlatformFault, SettingsSnapshot>> load() {
        return SettingsLoader.load(objects, lastLoaded.get()).thenApply(found -> found.peek(lastLoaded::set));
    }

    /** Checks the document and commits it if its base is the current revision; returns the new revision. */
    public CompletableFuture<Either<SettingsRejection, Long>> commit(SettingsProposal proposal) {
        return SettingsTree.of(proposal.document())
                .fold(
                        faults -> completed(Either.left(SettingsRejection.invalid(faults))),
                        _tree -> attempt(new Attempt(proposal, UUID.randomUUID().toString(), 0, false)));
    }

    /** One attempt at a commit; {@code responseLost} if the response to a write of the root was lost in any attempt. */
    private record Attempt(SettingsProposal proposal, String token, int number, boolean responseLost) {

        Attempt next(boolean nextResponseLost) {
            return new Attempt(proposal, token, number + 1, responseLost || nextResponseLost);
        }

        Either<SettingsRejection, Long> failed(String detail) {
            ErrorKind kind = responseLost ? ErrorKind.SETTINGS_OUTCOME_UNKNOWN : ErrorKind.PLATFORM_UNAVAILABLE;
            return Either.left(SettingsRejection.of(kind, detail));
        }
    }

    private CompletableFuture<Either<SettingsRejection, Long>> attempt(Attempt attempt) {
        if (attempt.number() == MAXIMUM_ATTEMPTS) {
            return completed(
                    attempt.failed("no write of the settings root was confirmed in " + MAXIMUM_ATTEMPTS + " attempts"));
        }
        return objects.versionedRoot()
                .thenCompose(found -> found.fold(
                        fault -> fault == PlatformFault.UNAVAILABLE && attempt.responseLost()
                                ? retryLater(attempt.next(true))
                                : completed(attempt.failed("the settings root cannot be read: " + fault)),
                        root -> commitOnRoot(attempt, root)));
    }

    private CompletableFuture<Either<SettingsRejection, Long>> retryLater(Attempt attempt) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timer.schedule(READ_BACK_DELAY, () -> elapsed.complete(null));
        return elapsed.thenCompose(_elapsed -> attempt(attempt));
    }

    private CompletableFuture<Either<SettingsRejection, Long>> commitOnRoot(Attempt attempt, VersionedRoot current) {
        SettingsRoot root = current.root();
        if (root.revisionOf(attempt.token()).isPresent()) {
            return completed(Either.right(root.revisionOf(attempt.token()).get()));
        }
        if (root.revision() != attempt.proposal().baseRevision()) {
            return rejectConflict(attempt.proposal(), root);
        }
        return loadChunks(root)
                .thenCompose(loaded -> loaded.fold(
                        fault -> completed(attempt.failed("a settings chunk cannot be read: " + fault)),
                        snapshot -> write(attempt, current, snapshot)));
    }

    private CompletableFuture<Either<SettingsRejection, Long>> write(
            Attempt attempt, VersionedRoot current, SettingsSnapshot before) {
        ImmutableMap<String, String> chunks =
                SettingsChunks.split(attempt.proposal().document());
        ImmutableList<CompletableFuture<Either<PlatformFault, StoredObject>>> writes = chunks.entrySet().stream()
                .filter(chunk -> !current.root().chunks().contains(chunk.getKey()))
                .map(chunk -> objects.writeChunk(chunk.getKey(), chunk.getValue()))
                .collect(ImmutableList.toImmutableList());
        return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new)).thenCompose(_all -> {
            if (writes.stream().anyMatch(write -> write.join().isLeft())) {
                return attempt(attempt.next(false));
            }
            SettingsRoot next = current.root().afterCommit(chunks.keySet().asList(), record(attempt, before));
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
            case ANSWER_LOST -> attempt(attempt.next(true));
            case CONFLICT, NOT_FOUND -> attempt(attempt.next(false));
            case UNAVAILABLE, TOO_LARGE, VERSION_TOO_OLD ->
                completed(attempt.failed("the settings root cannot be written: " + written.getLeft()));
        };
    }

    private CommitRecord record(Attempt attempt, SettingsSnapshot before) {
        ImmutableList<SettingChange> changes =
                before.tree().document().changesTo(attempt.proposal().document());
        List<String> recorded = changes.stream()
                .limit(MAXIMUM_RECORDED_CHANGES)
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

    /**
     * Lists what others changed; if the history is incomplete, the differences between proposal and current settings.
     */
    private CompletableFuture<Either<SettingsRejection, Long>> rejectConflict(
            SettingsProposal proposal, SettingsRoot root) {
        ImmutableList<CommitRecord> commits = root.commitsSince(proposal.baseRevision());
        boolean isHistoryComplete = commits.size() == root.revision() - proposal.baseRevision()
                && commits.stream()
                        .allMatch(commit ->
                                commit.changeCount() == commit.changes().size());
        if (isHistoryComplete) {
            return completed(Either.left(SettingsRejection.conflict(
                    root.revision(),
                    commits.stream()
                            .flatMap(commit -> commit.changes().stream())
                            .collect(ImmutableList.toImmutableList()))));
        }
        return loadChunks(root)
                .thenApply(loaded -> Either.left(SettingsRejection.conflict(
                        root.revision(),
                        loaded.fold(_fault -> ImmutableList.of(), snapshot -> differences(proposal, snapshot)))));
    }

    /** Loads the chunks of the root, reusing those of the last snapshot. */
    private CompletableFuture<Either<PlatformFault, SettingsSnapshot>> loadChunks(SettingsRoot root) {
        return SettingsLoader.loadChunks(objects, root, lastLoaded.get())
                .thenApply(found -> found.peek(lastLoaded::set));
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
