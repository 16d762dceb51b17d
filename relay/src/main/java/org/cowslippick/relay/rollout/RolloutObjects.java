package org.cowslippick.relay.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Writes to the objects of orders. */
public interface RolloutObjects {

    /** Writes the status of the object if it still has the revision. */
    CompletableFuture<Result> writeStatus(RolloutObject object, JsonNode status);

    /**
     * The result of a write.
     *
     * @param isHeld whether the store holds it; if not, it may still have been applied
     * @param conflicting the object as it is, if it has another revision
     * @param cause why the store does not hold it
     */
    record Result(boolean isHeld, Optional<RolloutObject> conflicting, String cause) {}
}
