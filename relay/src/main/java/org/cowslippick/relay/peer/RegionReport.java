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
        StateVersions versions,
        Optional<ImmutableList<Member>> members,
        ImmutableList<InstanceReport.Usage> usage,
        ImmutableList<InstanceReport.OwnedPool> pools) {

    /** An instance that reported lately. */
    record Member(InstanceName name, boolean serving) {

        private static void encode(Member member, MessageWriter writer) {
            writer.text(member.name.value());
            writer.flag(member.serving);
        }

        private static Member decode(MessageReader reader) {
            return new Member(new InstanceName(reader.text()), reader.flag());
        }
    }

    static void encode(RegionReport report, MessageWriter writer) {
        writer.text(report.region.name());
        writer.text(report.collector.value());
        writer.number(report.incarnation.number());
        StateVersions.encode(report.versions, writer);
        writer.flag(report.members.isPresent());
        report.members.ifPresent(members -> writer.list(members, Member::encode));
        writer.list(report.usage, InstanceReport.Usage::encode);
        writer.list(report.pools, InstanceReport.OwnedPool::encode);
    }

    static RegionReport decode(MessageReader reader) {
        return new RegionReport(
                new Region(reader.text()),
                new InstanceName(reader.text()),
                new Incarnation(reader.number()),
                StateVersions.decode(reader),
                reader.flag() ? Optional.of(reader.list(Member::decode)) : Optional.empty(),
                reader.list(InstanceReport.Usage::decode),
                reader.list(InstanceReport.OwnedPool::decode));
    }
}
