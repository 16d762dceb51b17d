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
        writer.text(request.id().value());
        writer.text(request.entry().value());
        writer.text(request.callerRegion().name());
        writer.text(request.organisation().value());
        writer.text(request.service().value());
        writer.text(request.tier().name().value());
        writer.number(request.tier().rank());
        writer.real(request.tier().weight());
        writer.constant(request.dispatchRule());
        writer.number(request.firstTokenNanos());
        writer.number(request.deadlineNanos());
        writer.number(request.promptTokens());
        writer.number(request.answerTokens());
        writer.flag(request.crossRegion());
        writer.list(request.prefixHashes(), (hash, hashes) -> hashes.number(hash));
        writer.number(request.contentFingerprint());
    }

    static RequestDescriptor decode(MessageReader reader) {
        return new RequestDescriptor(
                new RequestId(reader.text()),
                new InstanceName(reader.text()),
                new Region(reader.text()),
                new OrganisationName(reader.text()),
                new ServiceName(reader.text()),
                new Tier(new TierName(reader.text()), reader.integer(), reader.real()),
                reader.constant(DispatchRule.class),
                0,
                reader.number(),
                reader.number(),
                reader.integer(),
                reader.integer(),
                reader.flag(),
                reader.list(MessageReader::number),
                reader.number());
    }

    static void encode(PoolKey pool, MessageWriter writer) {
        writer.text(pool.pool().value());
        writer.text(pool.region().name());
    }

    static PoolKey decodePool(MessageReader reader) {
        return new PoolKey(new PoolName(reader.text()), new Region(reader.text()));
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
                request.firstTokenNanos(),
                request.deadlineNanos(),
                request.promptTokens(),
                request.answerTokens(),
                request.crossRegion(),
                request.prefixHashes(),
                request.contentFingerprint());
    }
}
