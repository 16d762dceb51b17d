package org.cowslippick.scheduler.limit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import org.cowslippick.core.settings.Limits;
import org.cowslippick.core.world.InstanceName;

/**
 * Divides the limits of one scope among the entries by max-min fairness on their demand (Bertsekas and Gallager, "Data
 * Networks", 6.5.2): no entry gets more than its demand while another gets less than an equal share and wants more.
 * Unclaimed capacity is divided equally, so that new demand at an idle entry is admitted at once.
 *
 * <p>An equal share is reserved for each known but unreachable entry, which is the most that such an entry falls back
 * to. So the shares in use add up to at most the limit even when a partition splits the entries into groups that
 * allocate independently. Until the partition heals, at most the shares of the unreachable entries are unused.
 */
public final class ShareAllocator {

    private static final double ROUNDING_TOLERANCE = 1e-9;

    private ShareAllocator() {}

    /** Allocates shares to all entries that reported; {@code unreachable} further entries are known. */
    public static ImmutableList<LimitShare> allocate(
            Limits limits, ImmutableList<DemandReport> reports, int unreachable) {
        int entries = reports.size() + unreachable;
        double reachableShare = entries == 0 ? 1 : (double) reports.size() / entries;
        ImmutableMap<InstanceName, Double> requests =
                shares(limits.requestsPerSecond(), reports, Demand::requestsPerSecond, reachableShare);
        ImmutableMap<InstanceName, Double> tokens =
                shares(limits.tokensPerSecond(), reports, Demand::tokensPerSecond, reachableShare);
        ImmutableMap<InstanceName, Double> concurrency = wholeShares(limits, reports, reachableShare);
        return reports.stream()
                .map(DemandReport::entry)
                .map(entry -> new LimitShare(
                        entry, limits.scope(), requests.get(entry), tokens.get(entry), concurrency.get(entry), entries))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableMap<InstanceName, Double> shares(
            OptionalDouble limit,
            ImmutableList<DemandReport> reports,
            ToDoubleFunction<Demand> dimension,
            double reachableShare) {
        List<DemandReport> ascending = reports.stream()
                .sorted(Comparator.comparingDouble((DemandReport report) -> dimension.applyAsDouble(report.demand()))
                        .thenComparing(DemandReport::entry))
                .toList();
        double total = limit.orElse(1);
        double unallocated = total * reachableShare;
        ImmutableMap.Builder<InstanceName, Double> filled = ImmutableMap.builder();
        int remaining = ascending.size();
        for (DemandReport report : ascending) {
            double granted = Math.min(dimension.applyAsDouble(report.demand()), unallocated / remaining);
            filled.put(report.entry(), granted);
            unallocated -= granted;
            remaining--;
        }
        double spare = unallocated / Math.max(1, ascending.size());
        return ImmutableMap.copyOf(Maps.transformValues(filled.buildOrThrow(), granted -> (granted + spare) / total));
    }

    /** Rounds the shares to whole numbers of requests while preserving their sum. */
    private static ImmutableMap<InstanceName, Double> wholeShares(
            Limits limits, ImmutableList<DemandReport> reports, double reachableShare) {
        OptionalDouble limit = limits.concurrency().stream().asDoubleStream().findFirst();
        ImmutableMap<InstanceName, Double> exact = shares(limit, reports, Demand::concurrency, reachableShare);
        if (limit.isEmpty()) {
            return exact;
        }
        ImmutableMap.Builder<InstanceName, Double> whole = ImmutableMap.builder();
        double before = 0;
        for (DemandReport report : reports) {
            double after = before + exact.get(report.entry()) * limit.getAsDouble();
            whole.put(
                    report.entry(),
                    (Math.floor(after + ROUNDING_TOLERANCE) - Math.floor(before + ROUNDING_TOLERANCE))
                            / limit.getAsDouble());
            before = after;
        }
        return whole.buildOrThrow();
    }
}
