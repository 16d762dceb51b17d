package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;

/**
 * Ends a repetition of everything that the sender has in the pool. Whatever else the owner holds for the sender is over.
 *
 * @param waiting requests that have no attempt in flight
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

    /** An attempt, as both sides name it. */
    record AttemptKey(RequestId request, EndpointName endpoint) {}
}
