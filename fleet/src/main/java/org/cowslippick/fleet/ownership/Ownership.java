package org.cowslippick.fleet.ownership;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.fleet.membership.Member;
import org.cowslippick.fleet.membership.Membership;

/**
 * Who owns which pool and partition in one view of the fleet. Two entries with different views may disagree for a
 * while, so that nothing that must always hold may depend on there being one owner.
 */
public final class Ownership {

    private final Membership membership;
    private final Map<PoolKey, Optional<Member>> poolOwners = new ConcurrentHashMap<>();

    public Ownership(Membership membership) {
        this.membership = membership;
    }

    /**
     * The owner of a pool: a member of the pool's region, or of any reachable region if that one has no member that
     * takes work. Nobody owns a pool whose region has members that cannot be reached.
     */
    public Optional<Member> ownerOf(PoolKey pool) {
        return poolOwners.computeIfAbsent(pool, this::choose);
    }

    /** The owner of a partition, among all members of the fleet that can be reached. */
    public Optional<Member> ownerOf(PartitionKey partition) {
        return Rendezvous.choose(membership.working().filter(this::reachable), partition.toString());
    }

    private Optional<Member> choose(PoolKey pool) {
        if (membership.unreachable().contains(pool.region())) {
            return Optional.empty();
        }
        String key = pool.toString();
        return Rendezvous.choose(membership.working(pool.region()), key)
                .or(() -> Rendezvous.choose(membership.working().filter(this::reachable), key));
    }

    private boolean reachable(Member member) {
        return !membership.unreachable().contains(member.region());
    }
}
