package org.cowslippick.fleet.grant;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;

/** Withdraws an offered request. */
record Withdrawal(PoolKey pool, RequestId request) implements PoolMessage {

    static final MessageType<Withdrawal> TYPE = new MessageType<>(
            17,
            Withdrawal.class,
            Priority.ESSENTIAL,
            (withdrawal, writer) -> {
                DescriptorCodec.encode(withdrawal.pool, writer);
                writer.writeString(withdrawal.request.value());
            },
            reader -> new Withdrawal(DescriptorCodec.decodePool(reader), new RequestId(reader.readString())));
}
