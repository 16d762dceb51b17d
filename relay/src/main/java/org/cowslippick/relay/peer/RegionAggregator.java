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

/** Sums up the reports of a region's members, this instance's own among them, into reports of the region. */
final class RegionAggregator {

    /** Names and totals that did not change are left out of the reports between. */
    private static final int REPORTS_PER_WHOLE_REPORT = 4;

    private final Instance self;
    private final Incarnation incarnation;
    private final Map<OrganisationName, Long> totals = new HashMap<>();
    private ImmutableMap<OrganisationName, Long> reported = ImmutableMap.of();
    private ImmutableSet<Member> named = ImmutableSet.of();
    private ImmutableMap<OrganisationName, Long> ownUsage = ImmutableMap.of();
    private long reports;

    RegionAggregator(Instance self, Incarnation incarnation) {
        this.self = self;
        this.incarnation = incarnation;
    }

    /** Counts what a member used since its last report. */
    void used(OrganisationName organisation, long more) {
        totals.merge(organisation, more, Long::sum);
    }

    /** The report of the region, from the last reports of its live members. */
    RegionReport report(StateVersions versions, InstanceReport own, ImmutableMap<Member, InstanceReport> members) {
        own.usage()
                .forEach(usage ->
                        used(usage.organisation(), usage.used() - ownUsage.getOrDefault(usage.organisation(), 0L)));
        ownUsage = own.usage().stream().collect(ImmutableMap.toImmutableMap(Usage::organisation, Usage::used));
        ImmutableSet<Member> names = ImmutableSet.<Member>builder()
                .add(new Member(self.name(), own.serving()))
                .addAll(members.keySet())
                .build();
        boolean whole = reports % REPORTS_PER_WHOLE_REPORT == 0 || !names.equals(named);
        reports++;
        named = names;
        ImmutableMap<OrganisationName, Long> before = reported;
        reported = ImmutableMap.copyOf(totals);
        return new RegionReport(
                self.region(),
                self.name(),
                incarnation,
                versions,
                whole ? Optional.of(names.asList()) : Optional.empty(),
                reported.entrySet().stream()
                        .filter(total -> whole || !total.getValue().equals(before.get(total.getKey())))
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
