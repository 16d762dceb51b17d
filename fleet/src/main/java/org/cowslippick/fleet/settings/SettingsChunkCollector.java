package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.StoredObject;
import org.cowslippick.fleet.settings.SettingsObjects.VersionedRoot;

/**
 * Garbage collector of chunks that the settings no longer refer to. It first changes the root's version, so that every
 * commit in progress conflicts and retries, and it deletes only the chunk versions that it listed before, so that a
 * chunk rewritten by such a commit is kept.
 */
public final class SettingsChunkCollector {

    private final SettingsObjects objects;

    public SettingsChunkCollector(Platform platform) {
        this.objects = new SettingsObjects(platform);
    }

    /** Deletes unused chunks and returns their number; deletes nothing if a commit intervenes. */
    public CompletableFuture<Either<PlatformFault, Integer>> collect() {
        return objects.listChunks()
                .thenCompose(
                        listed -> listed.fold(fault -> completed(Either.left(fault)), chunks -> objects.versionedRoot()
                                .thenCompose(found -> found.fold(
                                        fault -> completed(Either.left(fault)),
                                        root -> invalidatePendingCommits(root, chunks)))));
    }

    private CompletableFuture<Either<PlatformFault, Integer>> invalidatePendingCommits(
            VersionedRoot current, ImmutableList<StoredObject> chunks) {
        ImmutableSet<String> used = ImmutableSet.copyOf(current.root().chunks());
        ImmutableList<StoredObject> unused = chunks.stream()
                .filter(chunk -> !used.contains(chunk.key().name()))
                .collect(ImmutableList.toImmutableList());
        if (unused.isEmpty()) {
            return completed(Either.right(0));
        }
        return objects.writeRoot(current.version(), current.root().afterCollection())
                .thenCompose(
                        written -> written.fold(fault -> completed(Either.left(fault)), _root -> deleteAll(unused)));
    }

    private CompletableFuture<Either<PlatformFault, Integer>> deleteAll(ImmutableList<StoredObject> unused) {
        ImmutableList<CompletableFuture<Either<PlatformFault, StoredObject>>> deletions =
                unused.stream().map(objects::deleteChunk).collect(ImmutableList.toImmutableList());
        return CompletableFuture.allOf(deletions.toArray(CompletableFuture[]::new))
                .thenApply(_all -> Either.right((int) deletions.stream()
                        .filter(deletion -> deletion.join().isRight())
                        .count()));
    }

    private static <R> CompletableFuture<R> completed(R result) {
        return CompletableFuture.completedFuture(result);
    }
}
