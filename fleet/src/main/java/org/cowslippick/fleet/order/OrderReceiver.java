package org.cowslippick.fleet.order;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.FencingSupport;

/** An endpoint that takes orders. Futures complete within a timeout and never exceptionally. */
public interface OrderReceiver {

    EndpointName name();

    FencingSupport fencing();

    /** Sends an order. */
    CompletableFuture<OrderAnswer> send(EndpointOrder order, long fencingNumber);

    /** Reads the state; empty if the endpoint does not answer. */
    CompletableFuture<Optional<EndpointOrderState>> state();
}
