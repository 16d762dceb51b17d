package org.cowslippick.scheduler.quarantine;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.world.EndpointName;

/**
 * Counts crashes by content fingerprint. One crash makes every content that ran on the endpoint a suspect; a second
 * crash quarantines the content for a limited time. Reports for one endpoint within {@value #DEDUPLICATION_NANOS} ns
 * count as one crash, so that callers who send the same content concurrently do not get it quarantined by a single
 * crash. The pool runs at most one suspect per endpoint and attributes a crash to the suspect alone if there is one. So
 * a content that ran beside a harmful one becomes a suspect at most, unless two endpoints that it ran on crashed for
 * other reasons. Slow or silent endpoints do not count.
 *
 * <p>{@link #merge} forms the union of crashes, so that entries may exchange them in any order and repeatedly.
 */
public final class Quarantine {

    private static final int QUARANTINE_THRESHOLD = 2;
    private static final long RETENTION_NANOS = 600_000_000_000L;
    private static final long DEDUPLICATION_NANOS = 2_000_000_000L;
    private static final int MAXIMUM_CONTENTS = 4096;

    private record Crash(EndpointName endpoint, long atNanos) {

        boolean isSameAs(Crash other) {
            return endpoint.equals(other.endpoint) && Math.abs(atNanos - other.atNanos) < DEDUPLICATION_NANOS;
        }
    }

    private final Map<Long, List<Crash>> crashes = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<Crash>> _eldest) {
            return size() > MAXIMUM_CONTENTS;
        }
    };

    /** Records that the crash of an endpoint is attributed to this content. */
    public void recordCrash(long contentFingerprint, EndpointName endpoint, long nowNanos) {
        add(contentFingerprint, new Crash(endpoint, nowNanos), nowNanos);
    }

    /** The remaining quarantine time of the content; empty if it is not quarantined. */
    public Optional<Duration> remainingTime(long contentFingerprint, long nowNanos) {
        List<Crash> found = recent(contentFingerprint, nowNanos);
        return found.size() < QUARANTINE_THRESHOLD
                ? Optional.empty()
                : found.stream()
                        .map(Crash::atNanos)
                        .max(Long::compare)
                        .map(last -> Duration.ofNanos(last + RETENTION_NANOS - nowNanos));
    }

    /** Whether a recent crash was attributed to the content. */
    public boolean isSuspect(long contentFingerprint, long nowNanos) {
        return !recent(contentFingerprint, nowNanos).isEmpty();
    }

    /** Returns all retained crashes, for other entries. */
    public ImmutableList<AttributedCrash> attributedCrashes(long nowNanos) {
        return crashes.entrySet().stream()
                .flatMap(entry -> entry.getValue().stream()
                        .filter(crash -> isRetained(crash, nowNanos))
                        .map(crash ->
                                new AttributedCrash(entry.getKey(), crash.endpoint(), nowNanos - crash.atNanos())))
                .collect(ImmutableList.toImmutableList());
    }

    /** Merges the crashes retained by another entry. */
    public void merge(ImmutableList<AttributedCrash> crashesOfOthers, long nowNanos) {
        crashesOfOthers.forEach(crash ->
                add(crash.contentFingerprint(), new Crash(crash.endpoint(), nowNanos - crash.ageNanos()), nowNanos));
    }

    private void add(long contentFingerprint, Crash crash, long nowNanos) {
        List<Crash> found = crashes.computeIfAbsent(contentFingerprint, _fingerprint -> new ArrayList<>(1));
        found.removeIf(known -> !isRetained(known, nowNanos));
        boolean known = found.stream().anyMatch(crash::isSameAs);
        if (!known && found.size() < QUARANTINE_THRESHOLD) {
            found.add(crash);
        }
    }

    private List<Crash> recent(long contentFingerprint, long nowNanos) {
        return crashes.getOrDefault(contentFingerprint, ImmutableList.of()).stream()
                .filter(crash -> isRetained(crash, nowNanos))
                .toList();
    }

    private static boolean isRetained(Crash crash, long nowNanos) {
        return nowNanos - crash.atNanos() < RETENTION_NANOS;
    }
}
