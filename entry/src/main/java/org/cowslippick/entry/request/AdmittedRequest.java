package org.cowslippick.entry.request;

import java.util.Optional;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Contract;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.entry.endpoint.EndpointCall;
import org.cowslippick.fleet.claim.Ticket;

/** A request that has passed admission. */
public record AdmittedRequest(
        RequestDescriptor descriptor,
        Contract contract,
        PoolKey pool,
        EndpointCall call,
        Optional<IdempotencyKey> idempotencyKey,
        Optional<Ticket> ticket) {

    /** Whether its identity must be claimed, because the caller may resend it and it must not run again. */
    boolean requiresClaim() {
        return descriptor.dispatchRule().requiresClaim() && idempotencyKey.isPresent();
    }

    public RequestId id() {
        return descriptor.id();
    }
}
