package org.cowslippick.fleet.order;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FencingSupport;

/** An endpoint that accepts orders. Futures complete within a timeout and never exceptionally. */
public interface OrderReceiver {

    EndpointName name();

    FencingSupport fencing();

    CompletableFuture<OrderAnswer> send(EndpointOrder order, long fencingNumber);

    /** Reads the endpoint's state; empty if the endpoint does not answer. */
    CompletableFuture<Optional<EndpointOrderState>> state();
}
