package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.ownership.RendezvousHashing;

/**
 * Selects the collectors of a region, which read the store and aggregate reports for all other instances, so that calls
 * and messages do not grow with the square of the fleet. While instances select differently, a few more collect.
 */
final class CollectorSelector {

    /** Two, so that the loss of one collector causes no gap. */
    private static final int COLLECTORS_PER_REGION = 2;

    /**
     * If this many instances cannot read the store, the store itself is unavailable, and more readers would not help.
     */
    private static final int STORE_OUTAGE_THRESHOLD = 4;

    private static final Duration EXCLUSION_PERIOD = Duration.ofSeconds(3);

    private final InstanceName self;
    private final Supplier<Duration> reportTimeout;
    private final Map<InstanceName, Long> lastReportNanos = new HashMap<>();
    private final Map<InstanceName, Long> expectedSinceNanos = new HashMap<>();
    private final Map<InstanceName, Long> excludedUntilNanos = new HashMap<>();
    private final Map<InstanceName, Long> storeUnavailableUntilNanos = new HashMap<>();
    private Optional<Long> lastStoreReadNanos = Optional.empty();
    private boolean isStoreLost;

    /**
     * Creates a selector.
     *
     * @param reportTimeout the time without a report after which a collector is excluded, which grows with the fleet
     */
    CollectorSelector(InstanceName self, Supplier<Duration> reportTimeout) {
        this.self = self;
        this.reportTimeout = reportTimeout;
    }

    /** Records a collector's report; returns whether it is the first that can read the store after none could. */
    boolean recordReport(InstanceName collector, boolean storeUnavailable, long nowNanos) {
        lastReportNanos.put(collector, nowNanos);
        excludedUntilNanos.remove(collector);
        if (storeUnavailable) {
            storeUnavailableUntilNanos.put(
                    collector, nowNanos + reportTimeout.get().toNanos());
            isStoreLost = isStoreLost
                    || lastStoreReadNanos
                            .filter(last ->
                                    nowNanos - last <= reportTimeout.get().toNanos())
                            .isEmpty();
            return false;
        }
        storeUnavailableUntilNanos.remove(collector);
        lastStoreReadNanos = Optional.of(nowNanos);
        boolean isRegained = isStoreLost;
        isStoreLost = false;
        return isRegained;
    }

    /** Excludes an instance whose connection was lost, without waiting for the report timeout. */
    void connectionLost(InstanceName instance, long nowNanos) {
        excludedUntilNanos.put(instance, nowNanos + EXCLUSION_PERIOD.toNanos());
    }

    /** Selects the collectors of this instance's region; those whose reports are overdue are excluded. */
    ImmutableList<Instance> selectMonitored(ImmutableList<Instance> instances, Region region, long nowNanos) {
        ImmutableList<Instance> selected = select(instances, region, nowNanos);
        ImmutableSet<InstanceName> names = selected.stream().map(Instance::name).collect(ImmutableSet.toImmutableSet());
        expectedSinceNanos.keySet().retainAll(names);
        names.forEach(name -> expectedSinceNanos.putIfAbsent(name, nowNanos));
        ImmutableList<InstanceName> overdue = names.stream()
                .filter(name -> !name.equals(self) && isOverdue(name, nowNanos))
                .collect(ImmutableList.toImmutableList());
        overdue.forEach(name -> excludedUntilNanos.put(name, nowNanos + EXCLUSION_PERIOD.toNanos()));
        return overdue.isEmpty() ? selected : selectMonitored(instances, region, nowNanos);
    }

    /** Selects the collectors of a region from the state known to this instance. */
    ImmutableList<Instance> select(ImmutableList<Instance> instances, Region region, long nowNanos) {
        excludedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        storeUnavailableUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        boolean isStoreOutage = storeUnavailableUntilNanos.size() >= STORE_OUTAGE_THRESHOLD;
        String key = "collector/" + region.name();
        return instances.stream()
                .filter(instance -> instance.region().equals(region))
                .filter(instance -> instance.name().equals(self) || isEligible(instance.name(), isStoreOutage))
                .sorted(Comparator.comparingDouble(Instance::processors)
                        .thenComparingLong(instance -> RendezvousHashing.weight(instance.name(), key))
                        .reversed())
                .limit(COLLECTORS_PER_REGION)
                .collect(ImmutableList.toImmutableList());
    }

    private boolean isEligible(InstanceName name, boolean isStoreOutage) {
        return !excludedUntilNanos.containsKey(name)
                && (isStoreOutage || !storeUnavailableUntilNanos.containsKey(name));
    }

    private boolean isOverdue(InstanceName name, long nowNanos) {
        long since = Math.max(
                expectedSinceNanos.getOrDefault(name, nowNanos), lastReportNanos.getOrDefault(name, Long.MIN_VALUE));
        return nowNanos - since > reportTimeout.get().toNanos();
    }
}
