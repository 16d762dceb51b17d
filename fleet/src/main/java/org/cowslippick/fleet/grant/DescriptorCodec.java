package org.cowslippick.fleet.grant;

import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.DispatchRule;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.core.world.PoolName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;
import org.cowslippick.core.world.TierName;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageWriter;

/**
 * Encodes request descriptors and pool keys. The arrival time is not sent, because monotonic clocks of two processes
 * cannot be compared; messages carry the age instead, and the receiver computes the arrival on its own clock.
 */
final class DescriptorCodec {

    private DescriptorCodec() {}

    static void encode(RequestDescriptor request, MessageWriter writer) {
        writer.writeString(request.id().value());
        writer.writeString(request.entry().value());
        writer.writeString(request.callerRegion().name());
        writer.writeString(request.organisation().value());
        writer.writeString(request.service().value());
        writer.writeString(request.tier().name().value());
        writer.writeLong(request.tier().rank());
        writer.writeDouble(request.tier().weight());
        writer.writeEnum(request.dispatchRule());
        writer.writeLong(request.firstTokenTargetNanos());
        writer.writeLong(request.deadlineNanos());
        writer.writeLong(request.promptTokens());
        writer.writeLong(request.answerTokens());
        writer.writeBoolean(request.crossRegion());
        writer.writeList(request.prefixHashes(), (hash, hashes) -> hashes.writeLong(hash));
        writer.writeLong(request.contentFingerprint());
    }

    static RequestDescriptor decode(MessageReader reader) {
        return new RequestDescriptor(
                new RequestId(reader.readString()),
                new InstanceName(reader.readString()),
                new Region(reader.readString()),
                new OrganisationName(reader.readString()),
                new ServiceName(reader.readString()),
                new Tier(new TierName(reader.readString()), reader.readInt(), reader.readDouble()),
                reader.readEnum(DispatchRule.class),
                0,
                reader.readLong(),
                reader.readLong(),
                reader.readInt(),
                reader.readInt(),
                reader.readBoolean(),
                reader.readList(MessageReader::readLong),
                reader.readLong());
    }

    static void encode(PoolKey pool, MessageWriter writer) {
        writer.writeString(pool.pool().value());
        writer.writeString(pool.region().name());
    }

    static PoolKey decodePool(MessageReader reader) {
        return new PoolKey(new PoolName(reader.readString()), new Region(reader.readString()));
    }

    /** Returns a copy with the arrival time. */
    static RequestDescriptor withArrival(RequestDescriptor request, long arrivalNanos) {
        return new RequestDescriptor(
                request.id(),
                request.entry(),
                request.callerRegion(),
                request.organisation(),
                request.service(),
                request.tier(),
                request.dispatchRule(),
                arrivalNanos,
                request.firstTokenTargetNanos(),
                request.deadlineNanos(),
                request.promptTokens(),
                request.answerTokens(),
                request.crossRegion(),
                request.prefixHashes(),
                request.contentFingerprint());
    }
}
