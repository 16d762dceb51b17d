package org.cowslippick.fleet.grant;

import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;

/**
 * Asks for a grant of a waiting request; sent again after a change of owner or a lost connection.
 *
 * @param request the request; its arrival time is not transferred
 * @param ageNanos how long ago the request arrived
 * @param newestEpoch the newest epoch of the pool that the sender has seen
 * @param used the last grant of the request that the sender used; if the report of its end was lost, the owner ends it
 */
record Offer(PoolKey pool, RequestDescriptor request, long ageNanos, long newestEpoch, GrantNumber used)
        implements PoolMessage {

    static final MessageType<Offer> TYPE = new MessageType<>(
            16,
            Offer.class,
            Priority.ESSENTIAL,
            (offer, writer) -> {
                DescriptorCodec.encode(offer.pool, writer);
                DescriptorCodec.encode(offer.request, writer);
                writer.writeLong(offer.ageNanos);
                writer.writeLong(offer.newestEpoch);
                writer.writeLong(offer.used.epoch());
                writer.writeLong(offer.used.attempt());
            },
            reader -> new Offer(
                    DescriptorCodec.decodePool(reader),
                    DescriptorCodec.decode(reader),
                    reader.readLong(),
                    reader.readLong(),
                    new GrantNumber(reader.readLong(), reader.readInt())));
}
