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
 * Decides which contents a crash is blamed on. Contents that an earlier crash made suspects run apart from each other;
 * if one of them was on an endpoint that crashed, only it is blamed.
 */
final class CrashAttribution {

    private static final long ONE_CRASH_NANOS = 2_000_000_000L;

    private final Quarantine quarantine;
    private final Multiset<EndpointName> suspectsRunning = HashMultiset.create();
    private final Map<EndpointName, Long> suspectCrashes = new HashMap<>();

    CrashAttribution(Quarantine quarantine) {
        this.quarantine = quarantine;
    }

    /** Why a request may not run because of its content, if it may not. */
    Optional<Failure> refusal(RequestDescriptor request, long nowNanos) {
        return quarantine
                .remaining(request.contentFingerprint(), nowNanos)
                .map(remaining -> Failure.retryAfter(
                        ErrorKind.QUARANTINED,
                        "endpoints crashed twice while they ran this content; it is refused for "
                                + remaining.toSeconds() + " s",
                        remaining));
    }

    boolean mayRun(RequestDescriptor request, EndpointName endpoint, long nowNanos) {
        return suspectsRunning.count(endpoint) == 0 || !quarantine.suspects(request.contentFingerprint(), nowNanos);
    }

    void started(Attempt attempt, long nowNanos) {
        if (quarantine.suspects(attempt.request().descriptor().contentFingerprint(), nowNanos)) {
            attempt.markSuspect();
            suspectsRunning.add(attempt.tracker().name());
        }
    }

    void ended(Attempt attempt) {
        if (attempt.suspect()) {
            suspectsRunning.remove(attempt.tracker().name());
        }
    }

    /** An attempt was reported as crashed; called before {@link #ended}. */
    void crashed(Attempt attempt, long nowNanos) {
        EndpointName endpoint = attempt.tracker().name();
        if (attempt.suspect()) {
            suspectCrashes.put(endpoint, nowNanos);
        }
        boolean suspectBlamed = suspectsRunning.contains(endpoint) || recentSuspectCrash(endpoint, nowNanos);
        if (attempt.suspect() || !suspectBlamed) {
            quarantine.crashed(attempt.request().descriptor().contentFingerprint(), endpoint, nowNanos);
        }
    }

    private boolean recentSuspectCrash(EndpointName endpoint, long nowNanos) {
        return Optional.ofNullable(suspectCrashes.get(endpoint))
                .filter(at -> nowNanos - at < ONE_CRASH_NANOS)
                .isPresent();
    }
}
