package org.cowslippick.entry.request;

import java.util.Optional;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.Contract;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.entry.endpoint.EndpointCall;
import org.cowslippick.fleet.claim.Ticket;

/** A request whose caller, service, tier and body were checked. */
public record AdmittedRequest(
        RequestDescriptor descriptor,
        Contract contract,
        PoolKey pool,
        EndpointCall call,
        Optional<IdempotencyKey> idempotencyKey,
        Optional<Ticket> ticket) {

    /** Whether the identity of the work must be claimed, because the caller may send it again and it must not rerun. */
    boolean claimNeeded() {
        return descriptor.dispatchRule().requiresClaim() && idempotencyKey.isPresent();
    }

    public RequestId id() {
        return descriptor.id();
    }
}
