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
 * Counts crashes by content fingerprint. One crash makes every content that ran on the endpoint a suspect; the second
 * quarantines it for a time. Two reports of one endpoint within {@value #ONE_CRASH_NANOS} ns are one crash, so callers
 * who send the same content at once are not condemned by it. The pool runs no two suspects on one endpoint and, when a
 * suspect was there, blames the suspect alone; so a content that merely ran beside a harmful one is a suspect at most,
 * unless two endpoints that it ran on crashed for other reasons. Slow or silent endpoints count for nothing.
 *
 * <p>{@link #merge} is a union of crashes: entries may exchange them in any order and repeatedly.
 */
public final class Quarantine {

    private static final int CRASHES_TO_QUARANTINE = 2;
    private static final long MEMORY_NANOS = 600_000_000_000L;
    private static final long ONE_CRASH_NANOS = 2_000_000_000L;
    private static final int MAXIMUM_CONTENTS = 4096;

    private record Crash(EndpointName endpoint, long atNanos) {

        boolean sameAs(Crash other) {
            return endpoint.equals(other.endpoint) && Math.abs(atNanos - other.atNanos) < ONE_CRASH_NANOS;
        }
    }

    private final Map<Long, List<Crash>> crashes = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<Crash>> _eldest) {
            return size() > MAXIMUM_CONTENTS;
        }
    };

    /** An endpoint crashed and this content is blamed. */
    public void crashed(long contentFingerprint, EndpointName endpoint, long nowNanos) {
        add(contentFingerprint, new Crash(endpoint, nowNanos), nowNanos);
    }

    /** How long the content stays in quarantine; empty if it is not in it. */
    public Optional<Duration> remaining(long contentFingerprint, long nowNanos) {
        List<Crash> found = recent(contentFingerprint, nowNanos);
        return found.size() < CRASHES_TO_QUARANTINE
                ? Optional.empty()
                : found.stream()
                        .map(Crash::atNanos)
                        .max(Long::compare)
                        .map(last -> Duration.ofNanos(last + MEMORY_NANOS - nowNanos));
    }

    /** Whether a crash was attributed to the content. */
    public boolean suspects(long contentFingerprint, long nowNanos) {
        return !recent(contentFingerprint, nowNanos).isEmpty();
    }

    /** All crashes remembered, to tell other entries. */
    public ImmutableList<Death> deaths(long nowNanos) {
        return crashes.entrySet().stream()
                .flatMap(entry -> entry.getValue().stream()
                        .filter(crash -> remembered(crash, nowNanos))
                        .map(crash -> new Death(entry.getKey(), crash.endpoint(), nowNanos - crash.atNanos())))
                .collect(ImmutableList.toImmutableList());
    }

    /** Takes in what another entry remembers. */
    public void merge(ImmutableList<Death> deaths, long nowNanos) {
        deaths.forEach(death ->
                add(death.contentFingerprint(), new Crash(death.endpoint(), nowNanos - death.ageNanos()), nowNanos));
    }

    private void add(long contentFingerprint, Crash crash, long nowNanos) {
        List<Crash> found = crashes.computeIfAbsent(contentFingerprint, _fingerprint -> new ArrayList<>(1));
        found.removeIf(known -> !remembered(known, nowNanos));
        boolean known = found.stream().anyMatch(crash::sameAs);
        if (!known && found.size() < CRASHES_TO_QUARANTINE) {
            found.add(crash);
        }
    }

    private List<Crash> recent(long contentFingerprint, long nowNanos) {
        return crashes.getOrDefault(contentFingerprint, ImmutableList.of()).stream()
                .filter(crash -> remembered(crash, nowNanos))
                .toList();
    }

    private static boolean remembered(Crash crash, long nowNanos) {
        return nowNanos - crash.atNanos() < MEMORY_NANOS;
    }
}
