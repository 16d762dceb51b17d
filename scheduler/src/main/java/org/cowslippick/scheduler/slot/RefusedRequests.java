package org.cowslippick.scheduler.slot;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers requests refused with a retry-after delay, by fingerprint, so that a retry keeps the on-time limit of the
 * first attempt, and takes precedence if it does not come clearly before the named time. Callers do not mark their retries, and the time limit that is left to a retry differs from the
 * original one.
 */
final class RefusedRequests {

    /** Covers the longest time limit of callers plus the longest retry-after delay. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(20).toNanos();

    private static final int MAXIMUM_ENTRIES = 20_000;

    /** The part of the delay by which a retry may come early: 1 / 8. Delays are rounded and clocks differ. */
    private static final int EARLY_DIVISOR = 8;

    private final Map<Long, Refused> refused = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Refused> _eldest) {
            return size() > MAXIMUM_ENTRIES;
        }
    };

    /** Remembers a refusal whose caller is expected to return after the given delay. */
    void add(SlotRequest request, long delayNanos, long nowNanos) {
        refused.remove(request.fingerprint());
        refused.put(
                request.fingerprint(),
                new Refused(request.onTimeUntilNanos(), nowNanos, nowNanos + delayNanos - delayNanos / EARLY_DIVISOR));
    }

    /**
     * Returns the request as a caller's retry if it was refused before; each refusal matches one retry. One that comes
     * clearly before the named time remains a first attempt, but also keeps the on-time limit.
     */
    SlotRequest matchRetry(SlotRequest request, long nowNanos) {
        return Optional.ofNullable(refused.remove(request.fingerprint()))
                .filter(entry -> nowNanos - entry.refusedAtNanos() <= RETENTION_NANOS)
                .map(entry -> nowNanos - entry.returnFromNanos() >= 0
                        ? request.asCallerRetry(entry.onTimeUntilNanos())
                        : request.asEarlyRetry(entry.onTimeUntilNanos()))
                .orElse(request);
    }

    private record Refused(long onTimeUntilNanos, long refusedAtNanos, long returnFromNanos) {}
}
