package org.cowslippick.fleet.grant;

import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;

/** Asks an entry for a {@link Resync} because messages between it and the owner may have been lost. */
record ResyncRequest(PoolKey pool) implements PoolMessage {

    static final MessageType<ResyncRequest> TYPE = new MessageType<>(
            21,
            ResyncRequest.class,
            Priority.ESSENTIAL,
            (wanted, writer) -> DescriptorCodec.encode(wanted.pool, writer),
            reader -> new ResyncRequest(DescriptorCodec.decodePool(reader)));
}
