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
 * Deletes chunks that no longer belong to the settings. It first changes the root's version, so that every commit that
 * is under way fails and starts anew, and it deletes only versions that it saw before, so that a chunk that such a
 * commit takes up again stays.
 */
public final class SettingsChunkCollector {

    private final SettingsObjects objects;

    public SettingsChunkCollector(Platform platform) {
        this.objects = new SettingsObjects(platform);
    }

    /** Deletes unused chunks and returns how many; does nothing if a commit comes in between. */
    public CompletableFuture<Either<PlatformFault, Integer>> collect() {
        return objects.chunks()
                .thenCompose(
                        listed -> listed.fold(fault -> completed(Either.left(fault)), chunks -> objects.versionedRoot()
                                .thenCompose(found -> found.fold(
                                        fault -> completed(Either.left(fault)), root -> fence(root, chunks)))));
    }

    private CompletableFuture<Either<PlatformFault, Integer>> fence(
            VersionedRoot current, ImmutableList<StoredObject> chunks) {
        ImmutableSet<String> used = ImmutableSet.copyOf(current.root().chunks());
        ImmutableList<StoredObject> unused = chunks.stream()
                .filter(chunk -> !used.contains(chunk.key().name()))
                .collect(ImmutableList.toImmutableList());
        if (unused.isEmpty()) {
            return completed(Either.right(0));
        }
        return objects.writeRoot(current.version(), current.root().collected())
                .thenCompose(written -> written.fold(fault -> completed(Either.left(fault)), _root -> delete(unused)));
    }

    private CompletableFuture<Either<PlatformFault, Integer>> delete(ImmutableList<StoredObject> unused) {
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
