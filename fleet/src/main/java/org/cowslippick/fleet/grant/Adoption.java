package org.cowslippick.fleet.grant;

import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;

/**
 * Tells the owner of a pool that a request is in flight under a grant that this owner may not know, such as a grant of
 * the previous owner.
 *
 * @param request the request; its arrival time is not transferred
 * @param ageNanos how long ago the request arrived
 * @param dispatchAgeNanos how long ago the attempt was dispatched
 */
record Adoption(
        PoolKey pool,
        RequestDescriptor request,
        EndpointName endpoint,
        int attempt,
        long ageNanos,
        long dispatchAgeNanos)
        implements PoolMessage {

    static final MessageType<Adoption> TYPE = new MessageType<>(
            19,
            Adoption.class,
            Priority.ESSENTIAL,
            (adoption, writer) -> {
                DescriptorCodec.encode(adoption.pool, writer);
                DescriptorCodec.encode(adoption.request, writer);
                writer.writeString(adoption.endpoint.value());
                writer.writeLong(adoption.attempt);
                writer.writeLong(adoption.ageNanos);
                writer.writeLong(adoption.dispatchAgeNanos);
            },
            reader -> new Adoption(
                    DescriptorCodec.decodePool(reader),
                    DescriptorCodec.decode(reader),
                    new EndpointName(reader.readString()),
                    reader.readInt(),
                    reader.readLong(),
                    reader.readLong()));
}
