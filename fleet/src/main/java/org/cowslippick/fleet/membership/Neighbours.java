package org.cowslippick.fleet.membership;

import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.ownership.Rendezvous;

/**
 * Whom an entry probes: its successor in each of a few rings of its region, every ring ordered by another hash (the
 * expander of Rapid, Suresh et al. 2018), and, where it is its region's delegate towards another region, one entry there.
 */
final class Neighbours {

    private static final int RINGS = 3;

    private Neighbours() {}

    static ImmutableSet<InstanceName> of(MemberTable table, InstanceName self, Region region) {
        Stream<InstanceName> near = IntStream.range(0, RINGS)
                .mapToObj(ring -> successor(table, self, region, "ring-" + ring))
                .mapMulti(Optional::ifPresent);
        Stream<InstanceName> far = table.present()
                .map(record -> record.instance().region())
                .distinct()
                .filter(other -> !other.equals(region))
                .filter(other -> delegate(table, region, other).equals(Optional.of(self)))
                .map(other -> delegate(table, other, region))
                .mapMulti(Optional::ifPresent);
        return Stream.concat(near, far).collect(ImmutableSet.toImmutableSet());
    }

    private static Optional<InstanceName> delegate(MemberTable table, Region from, Region to) {
        return Rendezvous.choose(table.present(from), "delegate-" + from + "-" + to)
                .map(Member::name);
    }

    private static Optional<InstanceName> successor(MemberTable table, InstanceName self, Region region, String ring) {
        Comparator<InstanceName> order = Comparator.comparingLong(name -> Rendezvous.weight(name, ring));
        Comparator<InstanceName> total = order.thenComparing(Comparator.naturalOrder());
        Optional<InstanceName> above = table.present(region)
                .map(Member::name)
                .filter(name -> total.compare(name, self) > 0)
                .min(total);
        return above.or(() -> table.present(region).map(Member::name).min(total))
                .filter(name -> !name.equals(self));
    }
}
