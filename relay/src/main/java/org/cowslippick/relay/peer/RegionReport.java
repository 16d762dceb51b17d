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
