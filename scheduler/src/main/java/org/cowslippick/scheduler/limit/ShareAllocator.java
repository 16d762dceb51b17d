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
 * Divides the limits of one scope over the entries by max-min fairness on their demand (Bertsekas and Gallager, "Data
 * Networks", 6.5.2): no entry gets more than it asks for while another gets less than an equal part. What nobody asks
 * for is divided equally, so that new demand at a quiet entry is admitted at once.
 *
 * <p>An equal part is set aside for each entry that is known but cannot be reached, which is what that entry falls back
 * to at most. So the parts in use add up to at most the limit also when the entries are cut into groups that each
 * allocate on their own; what is lost until the groups meet is at most the part of the unreachable ones.
 */
public final class ShareAllocator {

    private static final double ROUNDING = 1e-9;

    private ShareAllocator() {}

    /** The shares of all entries that reported, with {@code unreachable} others being known. */
    public static ImmutableList<LimitShare> allocate(
            Limits limits, ImmutableList<DemandReport> reports, int unreachable) {
        int entries = reports.size() + unreachable;
        double reachable = entries == 0 ? 1 : (double) reports.size() / entries;
        ImmutableMap<InstanceName, Double> requests =
                parts(limits.requestsPerSecond(), reports, Demand::requestsPerSecond, reachable);
        ImmutableMap<InstanceName, Double> tokens =
                parts(limits.tokensPerSecond(), reports, Demand::tokensPerSecond, reachable);
        ImmutableMap<InstanceName, Double> atOnce = wholeParts(limits, reports, reachable);
        return reports.stream()
                .map(DemandReport::entry)
                .map(entry -> new LimitShare(
                        entry, limits.scope(), requests.get(entry), tokens.get(entry), atOnce.get(entry), entries))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableMap<InstanceName, Double> parts(
            OptionalDouble limit,
            ImmutableList<DemandReport> reports,
            ToDoubleFunction<Demand> dimension,
            double reachable) {
        List<DemandReport> ascending = reports.stream()
                .sorted(Comparator.comparingDouble((DemandReport report) -> dimension.applyAsDouble(report.demand()))
                        .thenComparing(DemandReport::entry))
                .toList();
        double total = limit.orElse(1);
        double left = total * reachable;
        ImmutableMap.Builder<InstanceName, Double> filled = ImmutableMap.builder();
        int remaining = ascending.size();
        for (DemandReport report : ascending) {
            double granted = Math.min(dimension.applyAsDouble(report.demand()), left / remaining);
            filled.put(report.entry(), granted);
            left -= granted;
            remaining--;
        }
        double spare = left / Math.max(1, ascending.size());
        return ImmutableMap.copyOf(Maps.transformValues(filled.buildOrThrow(), granted -> (granted + spare) / total));
    }

    /** Parts that are whole numbers of requests and still add up. */
    private static ImmutableMap<InstanceName, Double> wholeParts(
            Limits limits, ImmutableList<DemandReport> reports, double reachable) {
        OptionalDouble limit = limits.atOnce().stream().asDoubleStream().findFirst();
        ImmutableMap<InstanceName, Double> exact = parts(limit, reports, Demand::concurrency, reachable);
        if (limit.isEmpty()) {
            return exact;
        }
        ImmutableMap.Builder<InstanceName, Double> whole = ImmutableMap.builder();
        double before = 0;
        for (DemandReport report : reports) {
            double after = before + exact.get(report.entry()) * limit.getAsDouble();
            whole.put(
                    report.entry(),
                    (Math.floor(after + ROUNDING) - Math.floor(before + ROUNDING)) / limit.getAsDouble());
            before = after;
        }
        return whole.buildOrThrow();
    }
}
