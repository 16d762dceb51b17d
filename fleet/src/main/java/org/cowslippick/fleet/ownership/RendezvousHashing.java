package org.cowslippick.fleet.ownership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.membership.Member;

/**
 * Rendezvous (highest-random-weight) hashing (Thaler and Ravishankar 1998): when a member leaves, only its keys move.
 */
public final class RendezvousHashing {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private RendezvousHashing() {}

    /** The member with the highest weight for the key. */
    public static Optional<Member> choose(Stream<Member> members, String key) {
        return members.max(byWeight(key));
    }

    /** The members in descending order of weight for the key. */
    public static ImmutableList<Member> order(Stream<Member> members, String key) {
        return members.sorted(byWeight(key).reversed()).collect(ImmutableList.toImmutableList());
    }

    public static long weight(InstanceName member, String key) {
        return HASHER.hashStream().putString(key).putString(member.value()).getAsLong();
    }

    private static Comparator<Member> byWeight(String key) {
        return Comparator.comparingLong((Member member) -> weight(member.name(), key))
                .thenComparing(Member::name);
    }
}
