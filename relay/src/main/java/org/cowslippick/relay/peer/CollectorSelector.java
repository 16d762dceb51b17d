package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.ownership.Rendezvous;

/**
 * Chooses the instances of a region that read the store and collect reports for all others, so that neither calls nor
 * messages grow with the square of the fleet. Instances may choose differently for a moment; then a few more collect.
 */
final class CollectorSelector {

    /** One may be lost without anybody noticing. */
    private static final int PER_REGION = 2;

    /** When so many cannot read the store, it is the store that is away, and more readers would not help. */
    private static final int MOST_PASSED_OVER_FOR_THE_STORE = 4;

    /** A collector reports several times in this time. */
    private static final Duration LONGEST_SILENCE = Duration.ofMillis(1200);

    private static final Duration PASSED_OVER_FOR = Duration.ofSeconds(3);

    private final InstanceName self;
    private final Map<InstanceName, Long> heardAtNanos = new HashMap<>();
    private final Map<InstanceName, Long> expectedSinceNanos = new HashMap<>();
    private final Map<InstanceName, Long> silentUntilNanos = new HashMap<>();
    private final Map<InstanceName, Long> awayUntilNanos = new HashMap<>();

    CollectorSelector(InstanceName self) {
        this.self = self;
    }

    /** A collector reported. */
    void heard(InstanceName collector, boolean storeUnavailable, long nowNanos) {
        heardAtNanos.put(collector, nowNanos);
        silentUntilNanos.remove(collector);
        if (storeUnavailable) {
            awayUntilNanos.put(collector, nowNanos + LONGEST_SILENCE.toNanos());
        } else {
            awayUntilNanos.remove(collector);
        }
    }

    /** A connection to the instance was lost, so that its silence need not be waited for. */
    void lost(InstanceName instance, long nowNanos) {
        silentUntilNanos.put(instance, nowNanos + PASSED_OVER_FOR.toNanos());
    }

    /** The collectors of the region where this instance is, and notes which of them should be heard from. */
    ImmutableList<Instance> expected(ImmutableList<Instance> instances, Region region, long nowNanos) {
        ImmutableList<Instance> chosen = of(instances, region, nowNanos);
        ImmutableSet<InstanceName> names = chosen.stream().map(Instance::name).collect(ImmutableSet.toImmutableSet());
        expectedSinceNanos.keySet().retainAll(names);
        names.forEach(name -> expectedSinceNanos.putIfAbsent(name, nowNanos));
        ImmutableList<InstanceName> silent = names.stream()
                .filter(name -> !name.equals(self) && silent(name, nowNanos))
                .collect(ImmutableList.toImmutableList());
        silent.forEach(name -> silentUntilNanos.put(name, nowNanos + PASSED_OVER_FOR.toNanos()));
        return silent.isEmpty() ? chosen : expected(instances, region, nowNanos);
    }

    /** The collectors of a region, as far as is known here. */
    ImmutableList<Instance> of(ImmutableList<Instance> instances, Region region, long nowNanos) {
        silentUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        awayUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        boolean storeAwayForAll = awayUntilNanos.size() >= MOST_PASSED_OVER_FOR_THE_STORE;
        String key = "collector/" + region.name();
        return instances.stream()
                .filter(instance -> instance.region().equals(region))
                .filter(instance -> instance.name().equals(self) || fit(instance.name(), storeAwayForAll))
                .sorted(Comparator.comparingDouble(Instance::processors)
                        .thenComparingLong(instance -> Rendezvous.weight(instance.name(), key))
                        .reversed())
                .limit(PER_REGION)
                .collect(ImmutableList.toImmutableList());
    }

    private boolean fit(InstanceName name, boolean storeAwayForAll) {
        return !silentUntilNanos.containsKey(name) && (storeAwayForAll || !awayUntilNanos.containsKey(name));
    }

    private boolean silent(InstanceName name, long nowNanos) {
        long since = Math.max(
                expectedSinceNanos.getOrDefault(name, nowNanos), heardAtNanos.getOrDefault(name, Long.MIN_VALUE));
        return nowNanos - since > LONGEST_SILENCE.toNanos();
    }
}
