package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageWriter;

/**
 * A collector's aggregated report of the instances of its region.
 *
 * @param collector the reporting instance; totals of different collectors or incarnations are not comparable
 * @param members instances that reported recently; empty if unchanged since the last report that listed them
 * @param usage totals since the collector started: of all organisations if the report lists the members, otherwise of
 *     those whose totals changed
 * @param pools load of the pools that members own
 */
record RegionReport(
        Region region,
        InstanceName collector,
        Incarnation incarnation,
        StateVersions versions,
        Optional<ImmutableList<Member>> members,
        ImmutableList<InstanceReport.Usage> usage,
        ImmutableList<InstanceReport.OwnedPool> pools) {

    /** An instance that reported recently. */
    record Member(InstanceName name, boolean serving) {

        private static void encode(Member member, MessageWriter writer) {
            writer.writeString(member.name.value());
            writer.writeBoolean(member.serving);
        }

        private static Member decode(MessageReader reader) {
            return new Member(new InstanceName(reader.readString()), reader.readBoolean());
        }
    }

    static void encode(RegionReport report, MessageWriter writer) {
        writer.writeString(report.region.name());
        writer.writeString(report.collector.value());
        writer.writeLong(report.incarnation.number());
        StateVersions.encode(report.versions, writer);
        writer.writeBoolean(report.members.isPresent());
        report.members.ifPresent(members -> writer.writeList(members, Member::encode));
        writer.writeList(report.usage, InstanceReport.Usage::encode);
        writer.writeList(report.pools, InstanceReport.OwnedPool::encode);
    }

    static RegionReport decode(MessageReader reader) {
        return new RegionReport(
                new Region(reader.readString()),
                new InstanceName(reader.readString()),
                new Incarnation(reader.readLong()),
                StateVersions.decode(reader),
                reader.readBoolean() ? Optional.of(reader.readList(Member::decode)) : Optional.empty(),
                reader.readList(InstanceReport.Usage::decode),
                reader.readList(InstanceReport.OwnedPool::decode));
    }
}
