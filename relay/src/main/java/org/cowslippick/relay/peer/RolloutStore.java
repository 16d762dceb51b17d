package org.cowslippick.relay.peer;

import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.world.ServiceName;

/** Keeps the progress of roll-outs. */
public interface RolloutStore {

    /** Writes the status of the order; completes with whether the store holds it now, which false does not rule out. */
    CompletableFuture<Boolean> write(ServiceName service, RolloutStatus status);
}
