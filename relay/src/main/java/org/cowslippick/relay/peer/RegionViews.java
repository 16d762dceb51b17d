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

/** The last reports of the collectors: live instances and quota usage by region. */
final class RegionViews {

    private static final Duration REPORT_LIFETIME = Duration.ofMillis(1200);

    private final Map<InstanceName, View> views = new HashMap<>();
    private final Map<Region, InstanceName> countedCollectors = new HashMap<>();

    /**
     * Stores a report; returns the usage in the region since the last counted report. Only one collector per region is
     * counted at a time, as all of them report the same usage.
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
        boolean isCounted = isCounted(report, nowNanos);
        if (!isCounted || before.filter(View::complete).isEmpty()) {
            return ImmutableMap.of();
        }
        ImmutableMap<OrganisationName, Long> old = before.get().totals();
        return report.usage().stream()
                .collect(ImmutableMap.toImmutableMap(
                        InstanceReport.Usage::organisation,
                        usage -> usage.used() - old.getOrDefault(usage.organisation(), 0L)));
    }

    /** All instances listed in recent reports. */
    ImmutableSet<RegionReport.Member> members(long nowNanos) {
        return views.values().stream()
                .filter(view -> isFresh(view, nowNanos))
                .flatMap(view -> view.members().stream())
                .collect(ImmutableSet.toImmutableSet());
    }

    /** The state versions of the collectors with recent reports. */
    ImmutableMap<InstanceName, StateVersions> versions(long nowNanos) {
        return views.entrySet().stream()
                .filter(entry -> isFresh(entry.getValue(), nowNanos))
                .collect(ImmutableMap.toImmutableMap(
                        Map.Entry::getKey, entry -> entry.getValue().versions()));
    }

    private boolean isCounted(RegionReport report, long nowNanos) {
        InstanceName current = countedCollectors.computeIfAbsent(report.region(), _region -> report.collector());
        View view = views.get(current);
        if (view == null || !isFresh(view, nowNanos)) {
            countedCollectors.put(report.region(), report.collector());
            return false;
        }
        return current.equals(report.collector());
    }

    private static boolean isFresh(View view, long nowNanos) {
        return nowNanos - view.atNanos() <= REPORT_LIFETIME.toNanos();
    }

    private static ImmutableMap<OrganisationName, Long> merge(
            ImmutableMap<OrganisationName, Long> before, ImmutableList<InstanceReport.Usage> changes) {
        Map<OrganisationName, Long> merged = new HashMap<>(before);
        changes.forEach(usage -> merged.put(usage.organisation(), usage.used()));
        return ImmutableMap.copyOf(merged);
    }

    /**
     * The last report of a collector, with totals merged from earlier ones.
     *
     * @param complete whether a full report has been received, so that a missing total means zero
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
