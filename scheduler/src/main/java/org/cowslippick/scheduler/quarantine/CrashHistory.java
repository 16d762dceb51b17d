package org.cowslippick.scheduler.quarantine;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.ServiceName;

/**
 * The recent crashes of endpoints and the contents suspected of causing them. A content that an endpoint answers after
 * a crash is cleared, as a harmful one crashes each endpoint that begins to answer it.
 *
 * <p>A record only ever loses suspects, so instances may merge their histories in any order and repeatedly.
 */
public final class CrashHistory {

    /** Afterwards a quarantined content is tried again: as each record expires, one crash restores the quarantine. */
    static final Duration RETENTION = Duration.ofMinutes(5);

    /** Beyond this number the oldest records are dropped. */
    static final int MAXIMUM_RECORDS = 128;

    private final Map<CrashId, CrashRecord> records = new HashMap<>();
    private ImmutableSet<SuspectedContent> suspects = ImmutableSet.of();
    private ImmutableSet<SuspectedContent> quarantined = ImmutableSet.of();
    private long digest;

    /** A content of requests for one service. */
    private record SuspectedContent(ServiceName service, String content) {}

    /** Adds records, those of this instance or of another; returns those that are new or have lost suspects. */
    public ImmutableList<CrashRecord> merge(Collection<CrashRecord> added, long nowNanos) {
        ImmutableList<CrashRecord> changed = added.stream()
                .filter(record -> isRetained(record, nowNanos))
                .flatMap(record -> changedBy(record).stream())
                .collect(ImmutableList.toImmutableList());
        replace(changed, nowNanos);
        return changed;
    }

    private Optional<CrashRecord> changedBy(CrashRecord added) {
        CrashRecord known = records.get(added.id());
        return known == null
                ? Optional.of(added)
                : Optional.of(known.intersect(added)).filter(merged -> !merged.equals(known));
    }

    /** Clears contents that an endpoint of the service has begun to answer; returns the records that had them. */
    public ImmutableList<CrashRecord> clear(ServiceName service, Collection<String> contents, long nowNanos) {
        if (contents.stream().noneMatch(content -> suspects.contains(new SuspectedContent(service, content)))) {
            return ImmutableList.of();
        }
        ImmutableSet<String> cleared = ImmutableSet.copyOf(contents);
        ImmutableList<CrashRecord> changed = records(service).stream()
                .map(record -> record.without(cleared))
                .filter(record -> !record.equals(records.get(record.id())))
                .collect(ImmutableList.toImmutableList());
        replace(changed, nowNanos);
        return changed;
    }

    private void replace(ImmutableList<CrashRecord> changed, long nowNanos) {
        changed.forEach(record -> records.put(record.id(), record));
        if (!changed.isEmpty()) {
            update(nowNanos);
        }
    }

    /** Drops expired records; returns whether the history has changed. */
    public boolean expire(long nowNanos) {
        boolean hasExpired = records.values().stream().anyMatch(record -> !isRetained(record, nowNanos));
        if (hasExpired) {
            update(nowNanos);
        }
        return hasExpired;
    }

    /** The first of the contents that is quarantined, if any. */
    public Optional<String> quarantined(ServiceName service, Collection<String> contents) {
        return quarantined.isEmpty()
                ? Optional.empty()
                : contents.stream()
                        .filter(content -> quarantined.contains(new SuspectedContent(service, content)))
                        .findFirst();
    }

    /** When the quarantine of a content ends unless an endpoint crashes again. */
    public Duration remainingTime(ServiceName service, String content, long nowNanos) {
        return records.values().stream()
                .filter(record ->
                        record.service().equals(service) && record.suspects().contains(content))
                .map(record -> RETENTION.minusNanos(nowNanos - record.atNanos()))
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /** The quarantined contents of all services. */
    public ImmutableSet<String> quarantinedContents() {
        return quarantined.stream().map(SuspectedContent::content).collect(ImmutableSet.toImmutableSet());
    }

    public ImmutableList<CrashRecord> records() {
        return ImmutableList.copyOf(records.values());
    }

    /** Equal for histories with the same records and suspects; 0 for an empty one. */
    public long digest() {
        return digest;
    }

    private void update(long nowNanos) {
        records.values().removeIf(record -> !isRetained(record, nowNanos));
        records.values().stream()
                .sorted(Comparator.comparingLong((CrashRecord record) -> nowNanos - record.atNanos()))
                .skip(MAXIMUM_RECORDS)
                .map(CrashRecord::id)
                .toList()
                .forEach(records::remove);
        digest = records.values().stream().mapToLong(CrashRecord::digest).sum();
        suspects = records.values().stream()
                .flatMap(record ->
                        record.suspects().stream().map(content -> new SuspectedContent(record.service(), content)))
                .collect(ImmutableSet.toImmutableSet());
        quarantined = services().stream()
                .flatMap(service -> QuarantineRule.quarantined(records(service)).stream()
                        .map(content -> new SuspectedContent(service, content)))
                .collect(ImmutableSet.toImmutableSet());
    }

    private ImmutableSet<ServiceName> services() {
        return records.values().stream().map(CrashRecord::service).collect(ImmutableSet.toImmutableSet());
    }

    private ImmutableList<CrashRecord> records(ServiceName service) {
        return records.values().stream()
                .filter(record -> record.service().equals(service))
                .collect(ImmutableList.toImmutableList());
    }

    private static boolean isRetained(CrashRecord record, long nowNanos) {
        return nowNanos - record.atNanos() < RETENTION.toNanos();
    }
}
