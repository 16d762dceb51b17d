package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Streams;
import io.vavr.control.Either;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.fleet.platform.ObjectKey;
import org.cowslippick.fleet.platform.ObjectList;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.StoredObject;

/** Reads and writes the objects in the platform that hold the settings: one root and its chunks. */
final class SettingsObjects implements SettingsSource {

    static final String ROOT_KIND = "settings";
    static final String CHUNK_KIND = "settings-chunk";
    static final ObjectKey ROOT = new ObjectKey(ROOT_KIND, "root");

    private static final int MAXIMUM_INDIVIDUAL_READS = 4;

    private final Platform platform;

    SettingsObjects(Platform platform) {
        this.platform = platform;
    }

    /** A root with the version of its object, which is empty if the object does not exist. */
    record VersionedRoot(OptionalLong version, SettingsRoot root) {}

    @Override
    public CompletableFuture<Either<PlatformFault, SettingsRoot>> root() {
        return versionedRoot().thenApply(found -> found.map(VersionedRoot::root));
    }

    /** Reads a few chunks by one call each, and many by one list call. */
    @Override
    public CompletableFuture<Either<PlatformFault, ImmutableMap<String, String>>> chunks(ImmutableSet<String> names) {
        return names.size() > MAXIMUM_INDIVIDUAL_READS
                ? listChunks().thenApply(found -> found.map(all -> texts(all, names)))
                : readEach(names);
    }

    private CompletableFuture<Either<PlatformFault, ImmutableMap<String, String>>> readEach(
            ImmutableSet<String> names) {
        ImmutableList<CompletableFuture<Either<PlatformFault, StoredObject>>> reads =
                names.stream().map(name -> platform.get(chunkKey(name))).collect(ImmutableList.toImmutableList());
        return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new)).thenApply(_all -> Either.sequenceRight(
                        reads.stream().map(CompletableFuture::join).toList())
                .map(objects -> texts(objects, names)));
    }

    private static ImmutableMap<String, String> texts(Iterable<StoredObject> objects, ImmutableSet<String> names) {
        return Streams.stream(objects)
                .filter(object -> names.contains(object.key().name()))
                .collect(ImmutableMap.toImmutableMap(object -> object.key().name(), StoredObject::value));
    }

    CompletableFuture<Either<PlatformFault, VersionedRoot>> versionedRoot() {
        return platform.get(ROOT)
                .thenApply(found -> found.fold(
                        fault -> fault == PlatformFault.NOT_FOUND
                                ? Either.right(new VersionedRoot(OptionalLong.empty(), SettingsRoot.EMPTY))
                                : Either.left(fault),
                        SettingsObjects::versioned));
    }

    CompletableFuture<Either<PlatformFault, StoredObject>> writeRoot(OptionalLong version, SettingsRoot root) {
        return version.isPresent()
                ? platform.update(ROOT, version.getAsLong(), root.write())
                : platform.create(ROOT, root.write());
    }

    /** Writes a chunk, also if it exists: its new version keeps a collector that listed it earlier from deleting it. */
    CompletableFuture<Either<PlatformFault, StoredObject>> writeChunk(String name, String text) {
        return platform.create(chunkKey(name), text)
                .thenCompose(created -> created.isLeft() && created.getLeft() == PlatformFault.CONFLICT
                        ? rewriteChunk(name, text)
                        : CompletableFuture.completedFuture(created));
    }

    CompletableFuture<Either<PlatformFault, ImmutableList<StoredObject>>> listChunks() {
        return platform.list(CHUNK_KIND, "").thenApply(found -> found.map(ObjectList::objects));
    }

    CompletableFuture<Either<PlatformFault, StoredObject>> deleteChunk(StoredObject chunk) {
        return platform.delete(chunk.key(), chunk.version());
    }

    private CompletableFuture<Either<PlatformFault, StoredObject>> rewriteChunk(String name, String text) {
        return platform.get(chunkKey(name))
                .thenCompose(found -> found.isLeft()
                        ? CompletableFuture.completedFuture(found)
                        : platform.update(chunkKey(name), found.get().version(), text));
    }

    private static Either<PlatformFault, VersionedRoot> versioned(StoredObject object) {
        return SettingsRoot.read(object.value())
                .map(root -> Either.<PlatformFault, VersionedRoot>right(
                        new VersionedRoot(OptionalLong.of(object.version()), root)))
                .orElseGet(() -> Either.left(PlatformFault.UNAVAILABLE));
    }

    private static ObjectKey chunkKey(String name) {
        return new ObjectKey(CHUNK_KIND, name);
    }
}
