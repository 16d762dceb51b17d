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
 * Highest-random-weight hashing (Thaler and Ravishankar 1998): when a member leaves, only the keys that it owned move.
 */
public final class Rendezvous {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private Rendezvous() {}

    /** The member with the highest weight for the key. */
    public static Optional<Member> choose(Stream<Member> members, String key) {
        return members.max(byWeight(key));
    }

    /** The members from the highest weight for the key to the lowest. */
    public static ImmutableList<Member> order(Stream<Member> members, String key) {
        return members.sorted(byWeight(key).reversed()).collect(ImmutableList.toImmutableList());
    }

    /** The weight of one member for the key. */
    public static long weight(InstanceName member, String key) {
        return HASHER.hashStream().putString(key).putString(member.value()).getAsLong();
    }

    private static Comparator<Member> byWeight(String key) {
        return Comparator.comparingLong((Member member) -> weight(member.name(), key))
                .thenComparing(Member::name);
    }
}
