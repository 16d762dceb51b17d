package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;

/**
 * Completes a resync of the sender's requests in the pool. The owner then withdraws the sender's requests that are not
 * listed, and ends unlisted attempts of requests that are listed as in flight.
 *
 * @param waiting requests without an attempt in flight
 * @param inFlight all attempts in flight
 * @param newestEpoch the newest epoch of the pool that the sender has seen
 */
record Resync(PoolKey pool, ImmutableList<RequestId> waiting, ImmutableList<AttemptKey> inFlight, long newestEpoch)
        implements PoolMessage {

    static final MessageType<Resync> TYPE = new MessageType<>(
            20,
            Resync.class,
            Priority.ESSENTIAL,
            (resync, writer) -> {
                DescriptorCodec.encode(resync.pool, writer);
                writer.list(resync.waiting, (request, requests) -> requests.text(request.value()));
                writer.list(resync.inFlight, (attempt, attempts) -> {
                    attempts.text(attempt.request().value());
                    attempts.text(attempt.endpoint().value());
                });
                writer.number(resync.newestEpoch);
            },
            reader -> new Resync(
                    DescriptorCodec.decodePool(reader),
                    reader.list(requests -> new RequestId(requests.text())),
                    reader.list(attempts ->
                            new AttemptKey(new RequestId(attempts.text()), new EndpointName(attempts.text()))),
                    reader.number()));

    /** Identifies an attempt independently of its number, which each owner counts from 1. */
    record AttemptKey(RequestId request, EndpointName endpoint) {}
}
