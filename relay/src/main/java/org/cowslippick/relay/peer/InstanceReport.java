package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;
import org.cowslippick.scheduler.slot.PoolLoad;
import org.cowslippick.scheduler.slot.SlotPool;

/**
 * An instance's state, sent several times a second: to all others in a small fleet, to the collectors in a large one.
 *
 * @param serving whether callers may be directed to the instance
 * @param usage tokens or requests used since the process started, by organisation
 * @param pools load of the pools that the instance owns
 */
record InstanceReport(
        boolean serving, StateVersions versions, ImmutableList<Usage> usage, ImmutableList<OwnedPool> pools)
        implements PeerMessage {

    static final MessageType<InstanceReport> TYPE = new MessageType<>(
            80, InstanceReport.class, Priority.DROPPABLE, InstanceReport::encode, InstanceReport::decode);

    /** Total usage of one organisation. */
    record Usage(OrganisationName organisation, long used) {

        static void encode(Usage usage, MessageWriter writer) {
            writer.writeString(usage.organisation.value());
            writer.writeLong(usage.used);
        }

        static Usage decode(MessageReader reader) {
            return new Usage(new OrganisationName(reader.readString()), reader.readLong());
        }
    }

    /** Load of one pool. */
    record OwnedPool(SlotPool pool, PoolLoad load) {

        static void encode(OwnedPool owned, MessageWriter writer) {
            writer.writeString(owned.pool.service().value());
            writer.writeString(owned.pool.region().name());
            writer.writeLong(owned.load.freeSlots());
            writer.writeLong(owned.load.waiting());
        }

        static OwnedPool decode(MessageReader reader) {
            return new OwnedPool(
                    new SlotPool(new ServiceName(reader.readString()), new Region(reader.readString())),
                    new PoolLoad(reader.readInt(), reader.readInt()));
        }
    }

    private static void encode(InstanceReport report, MessageWriter writer) {
        writer.writeBoolean(report.serving);
        StateVersions.encode(report.versions, writer);
        writer.writeList(report.usage, Usage::encode);
        writer.writeList(report.pools, OwnedPool::encode);
    }

    private static InstanceReport decode(MessageReader reader) {
        return new InstanceReport(
                reader.readBoolean(),
                StateVersions.decode(reader),
                reader.readList(Usage::decode),
                reader.readList(OwnedPool::decode));
    }
}
