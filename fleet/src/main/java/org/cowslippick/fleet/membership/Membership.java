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
 * The fleet as one entry sees it at one moment.
 *
 * @param members by name: everyone who is alive or suspected, the entry itself included
 * @param unreachable regions whose members cannot be reached at the moment although they may be alive
 */
public record Membership(ImmutableMap<InstanceName, Member> members, ImmutableSet<Region> unreachable) {

    public static final Membership EMPTY = new Membership(ImmutableMap.of(), ImmutableSet.of());

    /** A view of the given members, all of whose regions can be reached. */
    public static Membership of(ImmutableCollection<Member> members) {
        return new Membership(Maps.uniqueIndex(members, Member::name), ImmutableSet.of());
    }

    public Optional<Member> find(InstanceName name) {
        return Optional.ofNullable(members.get(name));
    }

    /** Members that may be given new work. */
    public Stream<Member> working() {
        return members.values().stream().filter(Member::working);
    }

    /** Members of a region that may be given new work. */
    public Stream<Member> working(Region region) {
        return working().filter(member -> member.region().equals(region));
    }
}
