package org.cowslippick.fleet.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;

/**
 * All records that an entry knows. Records of dead incarnations are kept, so that stale gossip cannot resurrect them.
 */
final class MemberTable {

    private final Map<InstanceName, MemberRecord> records = new TreeMap<>();

    /** Merges a record; true if the table changed. */
    boolean merge(MemberRecord record) {
        MemberRecord before = records.get(record.name());
        MemberRecord after = before == null ? record : before.merge(record);
        records.put(record.name(), after);
        return !after.equals(before);
    }

    Optional<MemberRecord> find(InstanceName name) {
        return Optional.ofNullable(records.get(name));
    }

    /** Records of entries that are not gone, suspected and leaving ones included. */
    Stream<MemberRecord> presentRecords() {
        return records.values().stream().filter(record -> !record.gone());
    }

    Stream<Member> presentMembers(Region region) {
        return presentRecords().map(MemberRecord::toMember).filter(member -> member.region()
                .equals(region));
    }

    ImmutableList<MemberRecord> allRecords() {
        return ImmutableList.copyOf(records.values());
    }

    long digest() {
        return Hashing.komihash5_0().hashCharsToLong(records.values().toString());
    }

    Membership toMembership() {
        return Membership.of(presentRecords()
                .map(MemberRecord::toMember)
                .collect(ImmutableMap.toImmutableMap(Member::name, member -> member))
                .values());
    }
}
