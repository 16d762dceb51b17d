package org.cowslippick.fleet.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.core.world.PoolName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;
import org.cowslippick.fleet.membership.TestMembers;
import org.junit.jupiter.api.Test;

final class OwnershipTest {

    private static final PoolKey NORTH = new PoolKey(new PoolName("chat"), new Region("north"));

    private static ImmutableList<Member> members(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> TestMembers.member("entry-" + index, index % 2 == 0 ? "north" : "south", 1))
                .collect(ImmutableList.toImmutableList());
    }

    private static Member leaving(Member member) {
        return new Member(member.instance(), member.incarnation(), Member.Status.LEAVING);
    }

    /** Reference implementation: finds the member with the highest weight by linear scan. */
    private static Optional<Member> ownerByLinearScan(ImmutableList<Member> members, PoolKey pool) {
        Member best = null;
        for (Member member : members) {
            boolean isCandidate = member.acceptsNewWork() && member.region().equals(pool.region());
            if (isCandidate
                    && (best == null
                            || RendezvousHashing.weight(member.name(), pool.toString())
                                    > RendezvousHashing.weight(best.name(), pool.toString()))) {
                best = member;
            }
        }
        return Optional.ofNullable(best);
    }

    @Property(seed = "1", tries = 200)
    void matchesLinearScanAndMovesOnlyPoolsOfTheLeavingMember(
            @ForAll @IntRange(min = 3, max = 40) int count,
            @ForAll @IntRange(min = 0, max = 39) int leavingNumber,
            @ForAll @IntRange(min = 0, max = 10_000) int number) {
        PoolKey pool = new PoolKey(new PoolName("pool-" + number), new Region("north"));
        ImmutableList<Member> before = members(count);
        int leavingIndex = leavingNumber % count;
        ImmutableList<Member> after = IntStream.range(0, count)
                .mapToObj(index -> index == leavingIndex ? leaving(before.get(index)) : before.get(index))
                .collect(ImmutableList.toImmutableList());
        Optional<Member> owner = new Ownership(Membership.of(before)).ownerOf(pool);
        assertEquals(ownerByLinearScan(before, pool), owner);
        if (!owner.equals(Optional.of(before.get(leavingIndex)))) {
            assertEquals(owner, new Ownership(Membership.of(after)).ownerOf(pool));
        }
    }

    @Test
    void fallsBackToAnotherRegionOnlyIfThePoolRegionHasNoMember() {
        Ownership onlySouth = new Ownership(Membership.of(ImmutableList.of(TestMembers.member("s", "south", 1))));
        assertEquals(Optional.of("s"), onlySouth.ownerOf(NORTH).map(owner -> owner.name()
                .value()));
        ImmutableMap<org.cowslippick.core.world.InstanceName, Member> all = Maps.uniqueIndex(members(4), Member::name);
        Ownership northUnreachable = new Ownership(new Membership(all, ImmutableSet.of(new Region("north"))));
        assertEquals(Optional.empty(), northUnreachable.ownerOf(NORTH));
        assertTrue(northUnreachable
                .ownerOf(new PartitionKey("claim", 3))
                .filter(owner -> owner.region().equals(new Region("south")))
                .isPresent());
    }
}
