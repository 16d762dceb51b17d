package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Keeps segments of origins where they outlive all instances. */
public interface OriginStore {

    /** Replaces the segment with the same instance and number; completes with whether the store holds it. */
    CompletableFuture<Boolean> save(OriginSegment segment);

    /** All segments of all instances that can be read; empty if the store does not respond. */
    CompletableFuture<Optional<ImmutableList<OriginSegment>>> load();
}
