package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageType;
import org.cowslippick.fleet.wire.MessageWriter;
import org.cowslippick.fleet.wire.PeerMessage;
import org.cowslippick.fleet.wire.Priority;

/**
 * A collector's report to the members of its region and to the collectors of other regions.
 *
 * @param storeUnavailable whether the sender cannot read the store
 * @param regions the report of its own region, then those received from other regions
 */
record FleetReport(boolean storeUnavailable, ImmutableList<RegionReport> regions) implements PeerMessage {

    static final MessageType<FleetReport> TYPE =
            new MessageType<>(84, FleetReport.class, Priority.DROPPABLE, FleetReport::encode, FleetReport::decode);

    private static void encode(FleetReport report, MessageWriter writer) {
        writer.writeBoolean(report.storeUnavailable);
        writer.writeList(report.regions, RegionReport::encode);
    }

    private static FleetReport decode(MessageReader reader) {
        return new FleetReport(reader.readBoolean(), reader.readList(RegionReport::decode));
    }
}
