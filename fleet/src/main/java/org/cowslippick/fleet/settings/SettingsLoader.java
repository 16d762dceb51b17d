package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.fleet.platform.PlatformFault;
import org.jboss.logging.Logger;

/** Loads a snapshot from a source, reading only the chunks that a known older snapshot lacks. */
final class SettingsLoader {

    private static final Logger LOG = Logger.getLogger("cowslippick.settings");

    private SettingsLoader() {}

    /** Loads the source's settings if they are newer than the known snapshot; otherwise returns that snapshot. */
    static CompletableFuture<Either<PlatformFault, SettingsSnapshot>> load(
            SettingsSource source, SettingsSnapshot known) {
        return source.root()
                .thenCompose(found -> found.isLeft()
                        ? CompletableFuture.completedFuture(Either.left(found.getLeft()))
                        : loadChunks(source, found.get(), known));
    }

    static CompletableFuture<Either<PlatformFault, SettingsSnapshot>> loadChunks(
            SettingsSource source, SettingsRoot root, SettingsSnapshot known) {
        if (root.revision() <= known.revision()) {
            return CompletableFuture.completedFuture(Either.right(known));
        }
        ImmutableSet<String> missing = root.chunks().stream()
                .filter(name -> !known.chunks().containsKey(name))
                .collect(ImmutableSet.toImmutableSet());
        return source.chunks(missing).thenApply(found -> found.flatMap(read -> collectTexts(root, known, read))
                .flatMap(texts -> assemble(root, texts)));
    }

    /** Returns the texts of all chunks of the root; fails if one is missing or does not match its name. */
    private static Either<PlatformFault, ImmutableMap<String, String>> collectTexts(
            SettingsRoot root, SettingsSnapshot known, ImmutableMap<String, String> read) {
        ImmutableMap<String, String> texts = root.chunks().stream()
                .filter(name -> known.chunks().containsKey(name) || isIntact(name, read))
                .collect(ImmutableMap.toImmutableMap(
                        name -> name, name -> known.chunks().getOrDefault(name, read.getOrDefault(name, ""))));
        return texts.size() == root.chunks().size() ? Either.right(texts) : Either.left(PlatformFault.UNAVAILABLE);
    }

    private static boolean isIntact(String name, ImmutableMap<String, String> read) {
        return read.containsKey(name) && SettingsChunks.name(read.get(name)).equals(name);
    }

    private static Either<PlatformFault, SettingsSnapshot> assemble(
            SettingsRoot root, ImmutableMap<String, String> texts) {
        return SettingsChunks.join(texts.values().asList())
                .flatMap(SettingsTree::of)
                .peekLeft(faults -> LOG.errorf(
                        "settings: revision refused revision=%d faults=%d first=%s",
                        root.revision(), faults.size(), faults.get(0)))
                .mapLeft(_faults -> PlatformFault.UNAVAILABLE)
                .map(tree -> new SettingsSnapshot(root, tree, texts));
    }
}
