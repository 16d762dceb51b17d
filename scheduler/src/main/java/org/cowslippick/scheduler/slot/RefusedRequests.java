package org.cowslippick.scheduler.slot;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Requests that were told to come back, by fingerprint, so that a caller who does keeps the time of its first attempt.
 * Callers do not say that they have asked before, and what is left of their time limits differs from the start.
 */
final class RefusedRequests {

    /** The longest time limit of callers, with the longest delay before they come back. */
    private static final long REMEMBERED_NANOS = Duration.ofSeconds(20).toNanos();

    private static final int MOST_REMEMBERED = 20_000;

    private final Map<Long, Refused> refused = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Refused> _eldest) {
            return size() > MOST_REMEMBERED;
        }
    };

    void add(SlotRequest request, long nowNanos) {
        refused.remove(request.fingerprint());
        refused.put(request.fingerprint(), new Refused(request.onTimeUntilNanos(), nowNanos));
    }

    /** The request as one that came back, if it was refused before; an entry is used once. */
    SlotRequest recognize(SlotRequest request, long nowNanos) {
        return Optional.ofNullable(refused.remove(request.fingerprint()))
                .filter(entry -> nowNanos - entry.atNanos() <= REMEMBERED_NANOS)
                .map(entry -> request.asCallerRetry(entry.onTimeUntilNanos()))
                .orElse(request);
    }

    private record Refused(long onTimeUntilNanos, long atNanos) {}
}
