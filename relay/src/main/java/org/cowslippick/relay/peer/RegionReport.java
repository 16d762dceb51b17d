package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.wire.MessageReader;
import org.cowslippick.fleet.wire.MessageWriter;

/**
 * What a collector knows of the instances of its region.
 *
 * @param collector who collected it; totals of different collectors, or of different lives of one, do not compare
 * @param members those that reported lately; empty if they are as in the last report that named them
 * @param usage totals since the collector started; of all organisations in a report that names the members, otherwise
 *     of those whose totals changed
 * @param pools how busy the pools are that members own
 */
record RegionReport(
        Region region,
        InstanceName collector,
        Incarnation incarnation,
        Versions versions,
        Optional<ImmutableList<Member>> members,
        ImmutableList<InstanceReport.Usage> usage,
        ImmutableList<InstanceReport.OwnedPool> pools) {

    /** An instance that reported lately. */
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
        Versions.encode(report.versions, writer);
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
                Versions.decode(reader),
                reader.readBoolean() ? Optional.of(reader.readList(Member::decode)) : Optional.empty(),
                reader.readList(InstanceReport.Usage::decode),
                reader.readList(InstanceReport.OwnedPool::decode));
    }
}
