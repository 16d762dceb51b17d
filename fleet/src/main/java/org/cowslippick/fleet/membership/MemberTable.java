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

/** All records that an entry knows, those of dead runs included, so that nothing brings a dead run back. */
final class MemberTable {

    private final Map<InstanceName, MemberRecord> records = new TreeMap<>();

    /** Merges a record; true if that changed anything. */
    boolean merge(MemberRecord record) {
        MemberRecord before = records.get(record.name());
        MemberRecord after = before == null ? record : before.merge(record);
        records.put(record.name(), after);
        return !after.equals(before);
    }

    Optional<MemberRecord> find(InstanceName name) {
        return Optional.ofNullable(records.get(name));
    }

    /** Records of runs that are not over. */
    Stream<MemberRecord> present() {
        return records.values().stream().filter(record -> !record.gone());
    }

    /** Members of a region that are not over. */
    Stream<Member> present(Region region) {
        return present().map(MemberRecord::toMember).filter(member -> member.region()
                .equals(region));
    }

    ImmutableList<MemberRecord> all() {
        return ImmutableList.copyOf(records.values());
    }

    long digest() {
        return Hashing.komihash5_0().hashCharsToLong(records.values().toString());
    }

    Membership view() {
        return Membership.of(present()
                .map(MemberRecord::toMember)
                .collect(ImmutableMap.toImmutableMap(Member::name, member -> member))
                .values());
    }
}
