package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.scheduler.rollout.RolloutPlan;
import org.cowslippick.scheduler.rollout.RolloutStage;
import org.cowslippick.scheduler.rollout.RolloutTotals;
import org.cowslippick.scheduler.rollout.VersionCounts;

/** Messages between the decider of a roll-out and the instances that apply its plan. */
public final class RolloutMessages {

    private RolloutMessages() {}

    /** All message types of this class, for registration. */
    public static ImmutableSet<MessageType<?>> types() {
        return ImmutableSet.of(
                new MessageType<>(90, Plan.class, Priority.ESSENTIAL, Plan::encode, Plan::decode),
                new MessageType<>(91, Evidence.class, Priority.ESSENTIAL, Evidence::encode, Evidence::decode));
    }

    /** What the sender, the decider of the roll-out, asks of all instances; repeated periodically. */
    record Plan(RolloutPlan plan) implements PeerMessage {

        private static void encode(Plan message, MessageWriter writer) {
            RolloutPlan plan = message.plan;
            writer.writeString(plan.service().value());
            writer.writeString(plan.target());
            writer.writeLong(plan.order());
            writer.writeEnum(plan.stage());
            writer.writeDouble(plan.share());
            writer.writeDouble(plan.exposureShare());
            writer.writeDouble(plan.slack());
            writer.writeLong(plan.position());
        }

        private static Plan decode(MessageReader reader) {
            return new Plan(new RolloutPlan(
                    new ServiceName(reader.readString()),
                    reader.readString(),
                    reader.readLong(),
                    reader.readEnum(RolloutStage.class),
                    reader.readDouble(),
                    reader.readDouble(),
                    reader.readDouble(),
                    reader.readLong()));
        }
    }

    /**
     * What the queues of the sender have counted since the order, as totals, so that a lost message does no harm.
     *
     * @param order the order that the totals belong to
     * @param position of the plan that the sender applies
     */
    record Evidence(ServiceName service, long order, long position, RolloutTotals totals) implements PeerMessage {

        private static void encode(Evidence message, MessageWriter writer) {
            writer.writeString(message.service.value());
            writer.writeLong(message.order);
            writer.writeLong(message.position);
            writer.writeLong(message.totals.requests());
            writer.writeLong(message.totals.exposure());
            writer.writeLong(message.totals.oldRunning());
            encodeCounts(message.totals.target(), writer);
            encodeCounts(message.totals.old(), writer);
        }

        private static Evidence decode(MessageReader reader) {
            return new Evidence(
                    new ServiceName(reader.readString()),
                    reader.readLong(),
                    reader.readLong(),
                    new RolloutTotals(
                            reader.readLong(),
                            reader.readLong(),
                            reader.readLong(),
                            decodeCounts(reader),
                            decodeCounts(reader)));
        }

        private static void encodeCounts(ImmutableMap<Integer, VersionCounts> counts, MessageWriter writer) {
            writer.writeList(counts.entrySet(), (entry, list) -> {
                list.writeLong(entry.getKey());
                list.writeLong(entry.getValue().responses());
                list.writeLong(entry.getValue().failures());
                list.writeLong(entry.getValue().slow());
            });
        }

        private static ImmutableMap<Integer, VersionCounts> decodeCounts(MessageReader reader) {
            return reader
                    .readList(list -> Map.entry(
                            list.readInt(), new VersionCounts(list.readLong(), list.readLong(), list.readLong())))
                    .stream()
                    .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue, VersionCounts::plus));
        }
    }
}
