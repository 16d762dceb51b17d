package org.cowslippick.fleet.ownership;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;

/**
 * The owner of each pool and partition in one view of the fleet. Entries with different views may temporarily disagree,
 * so no safety property may depend on there being a single owner.
 */
public final class Ownership {

    private final Membership membership;
    private final Map<PoolKey, Optional<Member>> poolOwners = new ConcurrentHashMap<>();

    public Ownership(Membership membership) {
        this.membership = membership;
    }

    /**
     * The owner of a pool: a member of the pool's region, or of any reachable region if the pool's region has no member
     * that accepts work. A pool in an unreachable region has no owner.
     */
    public Optional<Member> ownerOf(PoolKey pool) {
        return poolOwners.computeIfAbsent(pool, this::choosePoolOwner);
    }

    /** The owner of a partition, among the members of all reachable regions. */
    public Optional<Member> ownerOf(PartitionKey partition) {
        return RendezvousHashing.choose(
                membership.membersAcceptingWork().filter(this::isReachable), partition.toString());
    }

    private Optional<Member> choosePoolOwner(PoolKey pool) {
        if (membership.unreachableRegions().contains(pool.region())) {
            return Optional.empty();
        }
        String key = pool.toString();
        return RendezvousHashing.choose(membership.membersAcceptingWork(pool.region()), key)
                .or(() -> RendezvousHashing.choose(
                        membership.membersAcceptingWork().filter(this::isReachable), key));
    }

    private boolean isReachable(Member member) {
        return !membership.unreachableRegions().contains(member.region());
    }
}
