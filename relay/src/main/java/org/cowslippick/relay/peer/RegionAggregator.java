package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.relay.peer.InstanceReport.OwnedPool;
import org.cowslippick.relay.peer.InstanceReport.Usage;
import org.cowslippick.relay.peer.RegionReport.Member;

/** Aggregates the reports of a region's members, including this instance, into reports of the region. */
final class RegionAggregator {

    /** One in this many reports lists all members and totals; the others omit those that are unchanged. */
    private static final int REPORTS_PER_FULL_REPORT = 4;

    private final Instance self;
    private final Incarnation incarnation;
    private final Map<OrganisationName, Long> totals = new HashMap<>();
    private ImmutableMap<OrganisationName, Long> lastTotals = ImmutableMap.of();
    private ImmutableSet<Member> lastMembers = ImmutableSet.of();
    private ImmutableMap<OrganisationName, Long> lastOwnUsage = ImmutableMap.of();
    private long reportCount;

    RegionAggregator(Instance self, Incarnation incarnation) {
        this.self = self;
        this.incarnation = incarnation;
    }

    /** Adds the usage of a member since its last report. */
    void addUsage(OrganisationName organisation, long amount) {
        totals.merge(organisation, amount, Long::sum);
    }

    /** Creates the next report of the region from the last reports of its live members. */
    RegionReport report(StateVersions versions, InstanceReport own, ImmutableMap<Member, InstanceReport> members) {
        own.usage()
                .forEach(usage -> addUsage(
                        usage.organisation(), usage.used() - lastOwnUsage.getOrDefault(usage.organisation(), 0L)));
        lastOwnUsage = own.usage().stream().collect(ImmutableMap.toImmutableMap(Usage::organisation, Usage::used));
        ImmutableSet<Member> currentMembers = ImmutableSet.<Member>builder()
                .add(new Member(self.name(), own.serving()))
                .addAll(members.keySet())
                .build();
        boolean isFull = reportCount % REPORTS_PER_FULL_REPORT == 0 || !currentMembers.equals(lastMembers);
        reportCount++;
        lastMembers = currentMembers;
        ImmutableMap<OrganisationName, Long> before = lastTotals;
        lastTotals = ImmutableMap.copyOf(totals);
        return new RegionReport(
                self.region(),
                self.name(),
                incarnation,
                versions,
                isFull ? Optional.of(currentMembers.asList()) : Optional.empty(),
                lastTotals.entrySet().stream()
                        .filter(total -> isFull || !total.getValue().equals(before.get(total.getKey())))
                        .map(total -> new Usage(total.getKey(), total.getValue()))
                        .collect(ImmutableList.toImmutableList()),
                pools(own, members));
    }

    private static ImmutableList<OwnedPool> pools(InstanceReport own, ImmutableMap<Member, InstanceReport> members) {
        return ImmutableList.<OwnedPool>builder()
                .addAll(own.pools())
                .addAll(members.values().stream()
                        .flatMap(report -> report.pools().stream())
                        .iterator())
                .build();
    }
}
