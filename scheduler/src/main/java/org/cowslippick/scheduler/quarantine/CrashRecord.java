package org.cowslippick.scheduler.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.Set;
import org.cowslippick.core.world.ServiceName;

/**
 * A request that an endpoint was running when it crashed, and had not begun to answer.
 *
 * @param atNanos when the reporter noticed the crash, on the local monotonic clock
 * @param suspects the contents of the request, from the first part of its prompt to the request itself; without those
 *     that have been cleared since
 */
public record CrashRecord(
        CrashId id, ServiceName service, String endpoint, long atNanos, ImmutableList<String> suspects) {

    /** Equal on all instances. */
    private static final HashFunction HASH = Hashing.murmur3_128();

    CrashRecord without(Set<String> cleared) {
        return withSuspects(suspects.stream()
                .filter(content -> !cleared.contains(content))
                .collect(ImmutableList.toImmutableList()));
    }

    /** Keeps the suspects that neither record has cleared. */
    CrashRecord intersect(CrashRecord other) {
        return withSuspects(
                suspects.stream().filter(other.suspects::contains).collect(ImmutableList.toImmutableList()));
    }

    private CrashRecord withSuspects(ImmutableList<String> remaining) {
        return remaining.size() == suspects.size() ? this : new CrashRecord(id, service, endpoint, atNanos, remaining);
    }

    /** A hash of all but the time, which is not comparable between instances. */
    long digest() {
        return HASH.newHasher()
                .putUnencodedChars(id.toString())
                .putUnencodedChars(String.join(",", suspects))
                .hash()
                .asLong();
    }
}
