package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;

/** What collectors said of the regions: which instances are there, and how much of the quotas they used. */
final class RegionViews {

    private static final Duration FRESH = Duration.ofMillis(1200);

    private final Map<InstanceName, View> views = new HashMap<>();
    private final Map<Region, InstanceName> counted = new HashMap<>();

    /**
     * Takes over a report; returns what was used in the region since the last report that was counted. Only one
     * collector of a region is counted at a time, as all count the same use.
     */
    ImmutableMap<OrganisationName, Long> received(RegionReport report, long nowNanos) {
        Optional<View> before = Optional.ofNullable(views.get(report.collector()))
                .filter(view -> view.incarnation.equals(report.incarnation()));
        ImmutableMap<OrganisationName, Long> totals =
                merge(before.map(View::totals).orElseGet(ImmutableMap::of), report.usage());
        views.put(
                report.collector(),
                new View(
                        report.region(),
                        report.incarnation(),
                        report.versions(),
                        report.members().or(() -> before.map(View::members)).orElseGet(ImmutableList::of),
                        totals,
                        report.members().isPresent()
                                || before.filter(View::complete).isPresent(),
                        nowNanos));
        boolean counts = counts(report, nowNanos);
        if (!counts || before.filter(View::complete).isEmpty()) {
            return ImmutableMap.of();
        }
        ImmutableMap<OrganisationName, Long> old = before.get().totals();
        return report.usage().stream()
                .collect(ImmutableMap.toImmutableMap(
                        InstanceReport.Usage::organisation,
                        usage -> usage.used() - old.getOrDefault(usage.organisation(), 0L)));
    }

    /** All instances that a collector named lately. */
    ImmutableSet<RegionReport.Member> members(long nowNanos) {
        return views.values().stream()
                .filter(view -> fresh(view, nowNanos))
                .flatMap(view -> view.members().stream())
                .collect(ImmutableSet.toImmutableSet());
    }

    /** What the collectors heard of lately have read in the store. */
    ImmutableMap<InstanceName, StateVersions> versions(long nowNanos) {
        return views.entrySet().stream()
                .filter(entry -> fresh(entry.getValue(), nowNanos))
                .collect(ImmutableMap.toImmutableMap(
                        Map.Entry::getKey, entry -> entry.getValue().versions()));
    }

    private boolean counts(RegionReport report, long nowNanos) {
        InstanceName current = counted.computeIfAbsent(report.region(), _region -> report.collector());
        View view = views.get(current);
        if (view == null || !fresh(view, nowNanos)) {
            counted.put(report.region(), report.collector());
            return false;
        }
        return current.equals(report.collector());
    }

    private static boolean fresh(View view, long nowNanos) {
        return nowNanos - view.atNanos() <= FRESH.toNanos();
    }

    private static ImmutableMap<OrganisationName, Long> merge(
            ImmutableMap<OrganisationName, Long> before, ImmutableList<InstanceReport.Usage> changes) {
        Map<OrganisationName, Long> merged = new HashMap<>(before);
        changes.forEach(usage -> merged.put(usage.organisation(), usage.used()));
        return ImmutableMap.copyOf(merged);
    }

    /**
     * The last report of a collector.
     *
     * @param complete whether a report with all totals came, so that an organisation without one started from nothing
     */
    private record View(
            Region region,
            Incarnation incarnation,
            StateVersions versions,
            ImmutableList<RegionReport.Member> members,
            ImmutableMap<OrganisationName, Long> totals,
            boolean complete,
            long atNanos) {}
}
