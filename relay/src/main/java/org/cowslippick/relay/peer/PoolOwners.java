package org.cowslippick.relay.peer;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.ownership.RendezvousHashing;
import org.cowslippick.scheduler.slot.SlotPool;

/**
 * Selects the owner of each pool by rendezvous hashing among the live members of its region that have the most
 * processor time. An owner with less processor time would delay every request of the pool.
 */
final class PoolOwners {

    /** Instances of the same kind differ by less than this ratio. */
    private static final double EQUAL_PROCESSORS_RATIO = 0.9;

    private final InstanceName self;
    private final Supplier<ImmutableList<Instance>> members;
    private final Map<SlotPool, InstanceName> owners = new HashMap<>();
    private final Map<SlotPool, InstanceName> designatedOwners = new HashMap<>();
    private final Map<InstanceName, Long> excludedUntilNanos = new HashMap<>();

    PoolOwners(InstanceName self, Supplier<ImmutableList<Instance>> members) {
        this.self = self;
        this.members = members;
    }

    InstanceName owner(SlotPool pool) {
        return owners.computeIfAbsent(pool, key -> select(key, responsiveMembers()));
    }

    /** The owner of the pool if no member is unresponsive; all instances with the same members agree on it. */
    InstanceName designatedOwner(SlotPool pool) {
        return designatedOwners.computeIfAbsent(pool, key -> select(key, members.get()));
    }

    /** Recomputes the owners after a change of the members, and ends expired exclusions. */
    void refresh(long nowNanos) {
        excludedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        owners.clear();
        designatedOwners.clear();
    }

    /** Excludes an unresponsive owner until {@link #refresh} is called after the given time. */
    void exclude(InstanceName owner, long untilNanos) {
        excludedUntilNanos.put(owner, untilNanos);
        owners.clear();
    }

    private ImmutableList<Instance> responsiveMembers() {
        return members.get().stream()
                .filter(member -> member.name().equals(self) || !excludedUntilNanos.containsKey(member.name()))
                .collect(ImmutableList.toImmutableList());
    }

    private InstanceName select(SlotPool pool, ImmutableList<Instance> candidates) {
        String key = pool.service().value() + "/" + pool.region().name();
        ImmutableList<Instance> local = candidates.stream()
                .filter(member -> member.region().equals(pool.region()))
                .collect(ImmutableList.toImmutableList());
        return mostPowerful(local.isEmpty() ? candidates : local).stream()
                .map(Instance::name)
                .max(Comparator.comparingLong(name -> RendezvousHashing.weight(name, key)))
                .orElse(self);
    }

    private static ImmutableList<Instance> mostPowerful(ImmutableList<Instance> candidates) {
        double maximum =
                candidates.stream().mapToDouble(Instance::processors).max().orElse(0);
        return candidates.stream()
                .filter(candidate -> candidate.processors() >= EQUAL_PROCESSORS_RATIO * maximum)
                .collect(ImmutableList.toImmutableList());
    }
}
