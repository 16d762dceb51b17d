package org.cowslippick.scheduler.slot;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers requests refused with a retry-after delay, by fingerprint, so that a retry keeps the on-time limit of the
 * first attempt. Callers do not mark their retries, and the time limit that is left to a retry differs from the
 * original one.
 */
final class RefusedRequests {

    /** Covers the longest time limit of callers plus the longest retry-after delay. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(20).toNanos();

    private static final int MAXIMUM_ENTRIES = 20_000;

    private final Map<Long, Refused> refused = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Refused> _eldest) {
            return size() > MAXIMUM_ENTRIES;
        }
    };

    void add(SlotRequest request, long nowNanos) {
        refused.remove(request.fingerprint());
        refused.put(request.fingerprint(), new Refused(request.onTimeUntilNanos(), nowNanos));
    }

    /** Returns the request as a caller's retry if it was refused before; each refusal matches one retry. */
    SlotRequest matchRetry(SlotRequest request, long nowNanos) {
        return Optional.ofNullable(refused.remove(request.fingerprint()))
                .filter(entry -> nowNanos - entry.refusedAtNanos() <= RETENTION_NANOS)
                .map(entry -> request.asCallerRetry(entry.onTimeUntilNanos()))
                .orElse(request);
    }

    private record Refused(long onTimeUntilNanos, long refusedAtNanos) {}
}
