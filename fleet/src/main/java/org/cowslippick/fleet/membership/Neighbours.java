package org.cowslippick.fleet.membership;

import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.ownership.RendezvousHashing;

/**
 * Selects the entries to which an entry sends probes and gossip: its successor in each of several rings of its region,
 * each ring ordered by a different hash (the expander graph of Rapid, Suresh et al. 2018), and, if it is its region's
 * delegate for another region, the delegate of that region.
 */
final class Neighbours {

    private static final int RINGS = 3;

    private Neighbours() {}

    static ImmutableSet<InstanceName> select(MemberTable table, InstanceName self, Region region) {
        Stream<InstanceName> sameRegion = IntStream.range(0, RINGS)
                .mapToObj(ring -> successor(table, self, region, "ring-" + ring))
                .mapMulti(Optional::ifPresent);
        Stream<InstanceName> otherRegions = table.presentRecords()
                .map(record -> record.instance().region())
                .distinct()
                .filter(other -> !other.equals(region))
                .filter(other -> delegate(table, region, other).equals(Optional.of(self)))
                .map(other -> delegate(table, other, region))
                .mapMulti(Optional::ifPresent);
        return Stream.concat(sameRegion, otherRegions).collect(ImmutableSet.toImmutableSet());
    }

    private static Optional<InstanceName> delegate(MemberTable table, Region from, Region to) {
        return RendezvousHashing.choose(table.presentMembers(from), "delegate-" + from + "-" + to)
                .map(Member::name);
    }

    private static Optional<InstanceName> successor(MemberTable table, InstanceName self, Region region, String ring) {
        Comparator<InstanceName> byWeight = Comparator.comparingLong(name -> RendezvousHashing.weight(name, ring));
        Comparator<InstanceName> ringOrder = byWeight.thenComparing(Comparator.naturalOrder());
        Optional<InstanceName> next = table.presentMembers(region)
                .map(Member::name)
                .filter(name -> ringOrder.compare(name, self) > 0)
                .min(ringOrder);
        return next.or(() -> table.presentMembers(region).map(Member::name).min(ringOrder))
                .filter(name -> !name.equals(self));
    }
}
