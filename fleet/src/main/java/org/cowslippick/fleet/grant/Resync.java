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
                writer.writeList(resync.waiting, (request, requests) -> requests.writeString(request.value()));
                writer.writeList(resync.inFlight, (attempt, attempts) -> {
                    attempts.writeString(attempt.request().value());
                    attempts.writeString(attempt.endpoint().value());
                });
                writer.writeLong(resync.newestEpoch);
            },
            reader -> new Resync(
                    DescriptorCodec.decodePool(reader),
                    reader.readList(requests -> new RequestId(requests.readString())),
                    reader.readList(attempts -> new AttemptKey(
                            new RequestId(attempts.readString()), new EndpointName(attempts.readString()))),
                    reader.readLong()));

    /** Identifies an attempt independently of its number, which each owner counts from 1. */
    record AttemptKey(RequestId request, EndpointName endpoint) {}
}
