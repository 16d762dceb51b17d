package org.cowslippick.scheduler.rollout;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;

/**
 * What queues have counted since an order. All but {@code oldRunning} only rise.
 *
 * @param requests requests of the service
 * @param exposure requests that were granted an endpoint of the target
 * @param oldRunning requests that run on endpoints of other versions now
 * @param target responses of the target by route
 * @param old responses of the other versions by route
 */
public record RolloutTotals(
        long requests,
        long exposure,
        long oldRunning,
        ImmutableMap<Integer, VersionCounts> target,
        ImmutableMap<Integer, VersionCounts> old) {

    public static final RolloutTotals NONE = new RolloutTotals(0, 0, 0, ImmutableMap.of(), ImmutableMap.of());

    public RolloutTotals plus(RolloutTotals other) {
        return new RolloutTotals(
                requests + other.requests,
                exposure + other.exposure,
                oldRunning + other.oldRunning,
                sum(target, other.target),
                sum(old, other.old));
    }

    /** The responses of the target on all routes. */
    public VersionCounts targetTotal() {
        return target.values().stream().reduce(VersionCounts.NONE, VersionCounts::plus);
    }

    private static ImmutableMap<Integer, VersionCounts> sum(
            ImmutableMap<Integer, VersionCounts> one, ImmutableMap<Integer, VersionCounts> other) {
        return Sets.union(one.keySet(), other.keySet()).stream()
                .collect(
                        ImmutableMap.toImmutableMap(route -> route, route -> one.getOrDefault(route, VersionCounts.NONE)
                                .plus(other.getOrDefault(route, VersionCounts.NONE))));
    }
}
