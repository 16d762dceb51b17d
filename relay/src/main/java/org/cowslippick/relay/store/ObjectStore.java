package org.cowslippick.relay.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** Reads and writes objects of the store, by kind and name. */
public interface ObjectStore {

    /** All objects of a kind; empty if the store does not respond. */
    CompletableFuture<Optional<ImmutableList<StoreObject>>> list(String kind);

    CompletableFuture<WriteResult> create(String kind, String name, JsonNode spec);

    /** Replaces the spec of an object, if it has the revision or none is given. */
    CompletableFuture<WriteResult> replace(String kind, String name, JsonNode spec, OptionalLong revision);

    CompletableFuture<WriteResult> remove(String kind, String name);

    /** What became of a write. */
    enum WriteOutcome {
        /** The store has applied it. */
        APPLIED,
        /** The object exists already, or has another revision. */
        CONFLICT,
        /** The object does not exist. */
        MISSING,
        /** The store did not say; the write may have been applied, or may still be. */
        UNKNOWN
    }

    /**
     * The result of a write.
     *
     * @param present the object that the store holds, after a conflict
     * @param cause why the write was not applied
     */
    record WriteResult(WriteOutcome outcome, Optional<StoreObject> present, String cause) {

        public boolean isApplied() {
            return outcome == WriteOutcome.APPLIED;
        }
    }
}
