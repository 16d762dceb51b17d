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

/** The messages by which entries divide limits. */
public final class LimitMessages {

    /** For the registry of message types. */
    public static final ImmutableSet<MessageType<?>> TYPES = ImmutableSet.of(
            new MessageType<>(
                    56,
                    Demands.class,
                    Priority.DROPPABLE,
                    (message, writer) -> writer.list(message.reports(), LimitMessages::encodeDemand),
                    reader -> new Demands(reader.list(LimitMessages::decodeDemand))),
            new MessageType<>(
                    57,
                    Shares.class,
                    Priority.DROPPABLE,
                    (message, writer) -> writer.list(message.shares(), LimitMessages::encodeShare),
                    reader -> new Shares(reader.list(LimitMessages::decodeShare))));

    private LimitMessages() {}

    /** What callers ask for at the sender. */
    record Demands(ImmutableList<DemandReport> reports) implements PeerMessage {}

    /** What the receiver may admit. */
    record Shares(ImmutableList<LimitShare> shares) implements PeerMessage {}

    private static void encodeDemand(DemandReport report, MessageWriter writer) {
        writer.text(report.entry().value());
        writer.text(report.scope().toString());
        writer.real(report.demand().requestsPerSecond());
        writer.real(report.demand().tokensPerSecond());
        writer.real(report.demand().concurrency());
    }

    private static DemandReport decodeDemand(MessageReader reader) {
        return new DemandReport(
                new InstanceName(reader.text()),
                scope(reader),
                new Demand(reader.real(), reader.real(), reader.real()));
    }

    private static void encodeShare(LimitShare share, MessageWriter writer) {
        writer.text(share.entry().value());
        writer.text(share.scope().toString());
        writer.real(share.requestRateShare());
        writer.real(share.tokenRateShare());
        writer.real(share.concurrencyShare());
        writer.number(share.entries());
    }

    private static LimitShare decodeShare(MessageReader reader) {
        return new LimitShare(
                new InstanceName(reader.text()),
                scope(reader),
                reader.real(),
                reader.real(),
                reader.real(),
                reader.integer());
    }

    private static SectionName scope(MessageReader reader) {
        String text = reader.text();
        return SectionName.parse(text)
                .orElseThrow(() -> new IllegalArgumentException("\"" + text + "\" is not a scope of limits"));
    }
}
