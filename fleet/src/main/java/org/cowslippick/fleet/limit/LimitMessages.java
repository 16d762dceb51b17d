package org.cowslippick.fleet.limit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.cowslippick.core.settings.SectionName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.scheduler.limit.Demand;
import org.cowslippick.scheduler.limit.DemandReport;
import org.cowslippick.scheduler.limit.LimitShare;

/** Message types of the limit exchange. */
public final class LimitMessages {

    public static final ImmutableSet<MessageType<?>> TYPES = ImmutableSet.of(
            new MessageType<>(
                    56,
                    Demands.class,
                    Priority.DROPPABLE,
                    (message, writer) -> writer.writeList(message.reports(), LimitMessages::encodeDemand),
                    reader -> new Demands(reader.readList(LimitMessages::decodeDemand))),
            new MessageType<>(
                    57,
                    Shares.class,
                    Priority.DROPPABLE,
                    (message, writer) -> writer.writeList(message.shares(), LimitMessages::encodeShare),
                    reader -> new Shares(reader.readList(LimitMessages::decodeShare))));

    private LimitMessages() {}

    /** The callers' demand at the sender. */
    record Demands(ImmutableList<DemandReport> reports) implements PeerMessage {}

    /** The shares of the limits that the receiver may admit. */
    record Shares(ImmutableList<LimitShare> shares) implements PeerMessage {}

    private static void encodeDemand(DemandReport report, MessageWriter writer) {
        writer.writeString(report.entry().value());
        writer.writeString(report.scope().toString());
        writer.writeDouble(report.demand().requestsPerSecond());
        writer.writeDouble(report.demand().tokensPerSecond());
        writer.writeDouble(report.demand().concurrency());
    }

    private static DemandReport decodeDemand(MessageReader reader) {
        return new DemandReport(
                new InstanceName(reader.readString()),
                scope(reader),
                new Demand(reader.readDouble(), reader.readDouble(), reader.readDouble()));
    }

    private static void encodeShare(LimitShare share, MessageWriter writer) {
        writer.writeString(share.entry().value());
        writer.writeString(share.scope().toString());
        writer.writeDouble(share.requestRateShare());
        writer.writeDouble(share.tokenRateShare());
        writer.writeDouble(share.concurrencyShare());
        writer.writeLong(share.entries());
    }

    private static LimitShare decodeShare(MessageReader reader) {
        return new LimitShare(
                new InstanceName(reader.readString()),
                scope(reader),
                reader.readDouble(),
                reader.readDouble(),
                reader.readDouble(),
                reader.readInt());
    }

    private static SectionName scope(MessageReader reader) {
        String text = reader.readString();
        return SectionName.parse(text)
                .orElseThrow(() -> new IllegalArgumentException("invalid limit scope \"" + text + "\""));
    }
}
