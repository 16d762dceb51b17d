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
 * Who owns each pool: among the live members of its region, those with the most processor time, and of these the one
 * with the highest rendezvous weight. A weak instance would make every request of the pool wait for it.
 */
final class PoolOwners {

    /** Instances of one kind differ by less than this from each other. */
    private static final double EQUAL_SHARE_OF_MOST = 0.9;

    private final InstanceName self;
    private final Supplier<ImmutableList<Instance>> members;
    private final Map<SlotPool, InstanceName> owners = new HashMap<>();
    private final Map<InstanceName, Long> passedOverUntilNanos = new HashMap<>();

    PoolOwners(InstanceName self, Supplier<ImmutableList<Instance>> members) {
        this.self = self;
        this.members = members;
    }

    InstanceName owner(SlotPool pool) {
        return owners.computeIfAbsent(pool, this::choose);
    }

    /** The members changed, or some are to be tried again. */
    void changed(long nowNanos) {
        passedOverUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        owners.clear();
    }

    /** Leaves out an owner that did not answer, until {@link #changed} is called after the given time. */
    void passOver(InstanceName silent, long untilNanos) {
        passedOverUntilNanos.put(silent, untilNanos);
        owners.clear();
    }

    private InstanceName choose(SlotPool pool) {
        String key = pool.service().value() + "/" + pool.region().name();
        ImmutableList<Instance> candidates = members.get().stream()
                .filter(member -> member.name().equals(self) || !passedOverUntilNanos.containsKey(member.name()))
                .collect(ImmutableList.toImmutableList());
        ImmutableList<Instance> near = candidates.stream()
                .filter(member -> member.region().equals(pool.region()))
                .collect(ImmutableList.toImmutableList());
        return strongest(near.isEmpty() ? candidates : near).stream()
                .map(Instance::name)
                .max(Comparator.comparingLong(name -> RendezvousHashing.weight(name, key)))
                .orElse(self);
    }

    private static ImmutableList<Instance> strongest(ImmutableList<Instance> candidates) {
        double most =
                candidates.stream().mapToDouble(Instance::processors).max().orElse(0);
        return candidates.stream()
                .filter(candidate -> candidate.processors() >= EQUAL_SHARE_OF_MOST * most)
                .collect(ImmutableList.toImmutableList());
    }
}
