package org.cowslippick.scheduler.pool;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.scheduler.quarantine.Quarantine;

/**
 * Decides which contents a crash is attributed to. Suspects, which are contents with an earlier crash, run on separate
 * endpoints; a crash of an endpoint that ran a suspect is attributed to the suspect alone.
 */
final class CrashAttribution {

    private static final long CRASH_REPORT_WINDOW_NANOS = 2_000_000_000L;

    private final Quarantine quarantine;
    private final Multiset<EndpointName> runningSuspects = HashMultiset.create();
    private final Map<EndpointName, Long> suspectCrashes = new HashMap<>();

    CrashAttribution(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    /** Returns why a request is refused because of its content, if it is. */
    Optional<Failure> refusal(RequestDescriptor request, long nowNanos) {
        return quarantine
                .remainingTime(request.contentFingerprint(), nowNanos)
                .map(remaining -> Failure.retryAfter(
                        ErrorKind.QUARANTINED,
                        "endpoints crashed twice while running this content; it is quarantined for another "
                                + remaining.toSeconds() + " s",
                        remaining));
    }

    boolean mayRun(RequestDescriptor request, EndpointName endpoint, long nowNanos) {
        return runningSuspects.count(endpoint) == 0 || !quarantine.isSuspect(request.contentFingerprint(), nowNanos);
    }

    void recordStart(Attempt attempt, long nowNanos) {
        if (quarantine.isSuspect(attempt.request().descriptor().contentFingerprint(), nowNanos)) {
            attempt.markSuspect();
            runningSuspects.add(attempt.tracker().name());
        }
    }

    void recordEnd(Attempt attempt) {
        if (attempt.isSuspect()) {
            runningSuspects.remove(attempt.tracker().name());
        }
    }

    /** Records that an attempt was reported as crashed; must be called before {@link #recordEnd}. */
    void recordCrash(Attempt attempt, long nowNanos) {
        EndpointName endpoint = attempt.tracker().name();
        if (attempt.isSuspect()) {
            suspectCrashes.put(endpoint, nowNanos);
        }
        boolean suspectInvolved = runningSuspects.contains(endpoint) || hasRecentSuspectCrash(endpoint, nowNanos);
        if (attempt.isSuspect() || !suspectInvolved) {
            quarantine.recordCrash(attempt.request().descriptor().contentFingerprint(), endpoint, nowNanos);
        }
    }

    private boolean hasRecentSuspectCrash(EndpointName endpoint, long nowNanos) {
        return Optional.ofNullable(suspectCrashes.get(endpoint))
                .filter(at -> nowNanos - at < CRASH_REPORT_WINDOW_NANOS)
                .isPresent();
    }
}
