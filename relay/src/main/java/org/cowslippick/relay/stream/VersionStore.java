package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Keeps the software versions that may have begun streams where they outlive all instances. */
public interface VersionStore {

    /** The entries of all services; empty if the store does not respond. */
    CompletableFuture<Optional<ImmutableList<RegisteredVersions>>> load();

    /**
     * Writes the entry of a service if the store still holds the revision of the given one, or no entry at revision 0.
     */
    CompletableFuture<Result> write(RegisteredVersions versions);

    /**
     * The result of a write.
     *
     * @param isHeld whether the store holds what was written
     * @param present the entry that the store holds instead, after a conflict
     */
    record Result(boolean isHeld, Optional<RegisteredVersions> present) {}
}
