package org.cowslippick.fleet.membership;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.Optional;
import java.util.stream.Stream;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/**
 * An immutable snapshot of the fleet as seen by one entry.
 *
 * @param members all live, suspected and leaving members by name, including the entry itself
 * @param unreachableRegions regions whose members currently cannot be reached, although they may be alive
 */
public record Membership(ImmutableMap<InstanceName, Member> members, ImmutableSet<Region> unreachableRegions) {

    public static final Membership EMPTY = new Membership(ImmutableMap.of(), ImmutableSet.of());

    /** Creates a view in which the regions of all members are reachable. */
    public static Membership of(ImmutableCollection<Member> members) {
        return new Membership(Maps.uniqueIndex(members, Member::name), ImmutableSet.of());
    }

    public Optional<Member> find(InstanceName name) {
        return Optional.ofNullable(members.get(name));
    }

    /** Members to which new work may be assigned. */
    public Stream<Member> membersAcceptingWork() {
        return members.values().stream().filter(Member::acceptsNewWork);
    }

    /** Members of a region to which new work may be assigned. */
    public Stream<Member> membersAcceptingWork(Region region) {
        return membersAcceptingWork().filter(member -> member.region().equals(region));
    }
}
