package org.cowslippick.fleet.grant;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.scheduler.pool.Grant;

/**
 * The owner of a pool granted an attempt.
 *
 * @param epoch the owner's epoch; entries ignore grants of an older epoch than the newest that they have seen
 */
record Granted(PoolKey pool, Grant grant, long epoch) implements PoolMessage {

    static final MessageType<Granted> TYPE = new MessageType<>(
            22,
            Granted.class,
            Priority.ESSENTIAL,
            (granted, writer) -> {
                DescriptorCodec.encode(granted.pool, writer);
                writer.writeString(granted.grant.request().value());
                writer.writeString(granted.grant.entry().value());
                writer.writeString(granted.grant.endpoint().value());
                writer.writeLong(granted.grant.attempt());
                writer.writeEnum(granted.grant.reason());
                writer.writeLong(granted.epoch);
            },
            reader -> new Granted(
                    DescriptorCodec.decodePool(reader),
                    new Grant(
                            new RequestId(reader.readString()),
                            new InstanceName(reader.readString()),
                            new EndpointName(reader.readString()),
                            reader.readInt(),
                            reader.readEnum(Grant.Reason.class)),
                    reader.readLong()));
}
