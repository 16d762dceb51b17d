package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.InstanceName;

/**
 * What is known of endpoints from their own responses. It is kept while the registration of an endpoint is missing, and
 * ends with the run of the endpoint.
 */
final class EndpointNotices {

    /** Beyond any number of runs during the lifetime of a process; the oldest are forgotten first. */
    private static final int MAXIMUM_RUNS = 10_000;

    private final Map<Run, Known> known = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Run, Known> _eldest) {
            return size() > MAXIMUM_RUNS;
        }
    };

    private boolean hasPauses;

    /** Whether any endpoint asked any instance for a pause that it has not answered a request since. */
    boolean hasPauses() {
        return hasPauses;
    }

    Known get(LiveEndpoint endpoint) {
        return known.getOrDefault(Run.of(endpoint), Known.NOTHING);
    }

    /** Adds a notice to an instance; returns whether it says anything new. */
    boolean record(LiveEndpoint endpoint, InstanceName instance, EndpointNotice notice) {
        Known before = get(endpoint);
        Known after = before.with(instance, notice);
        known.put(Run.of(endpoint), after);
        hasPauses = hasPauses || !after.pausedUntilNanos().isEmpty();
        return !after.equals(before);
    }

    /** Forgets that the endpoint asked the instance for a pause. */
    void endPause(LiveEndpoint endpoint, InstanceName instance) {
        known.computeIfPresent(Run.of(endpoint), (_run, before) -> before.withoutPause(instance));
        hasPauses = known.values().stream()
                .anyMatch(present -> !present.pausedUntilNanos().isEmpty());
    }

    /** One run of an endpoint; another one may reuse its name or its address. */
    private record Run(String id, HostAndPort address, long startedAtMilliseconds) {

        static Run of(LiveEndpoint endpoint) {
            return new Run(endpoint.id(), endpoint.address(), endpoint.startedAtMilliseconds());
        }
    }

    /**
     * @param pausedUntilNanos the ends of the pauses, by the instance that was asked for one
     */
    record Known(boolean isLeaving, ImmutableMap<InstanceName, Long> pausedUntilNanos) {

        static final Known NOTHING = new Known(false, ImmutableMap.of());

        Optional<Long> pausedUntil(InstanceName instance) {
            return Optional.ofNullable(pausedUntilNanos.get(instance));
        }

        private Known with(InstanceName instance, EndpointNotice notice) {
            ImmutableMap.Builder<InstanceName, Long> pauses = ImmutableMap.builder();
            pauses.putAll(pausedUntilNanos);
            notice.pausedUntilNanos()
                    .map(until -> pausedUntil(instance)
                            .filter(earlier -> earlier - until > 0)
                            .orElse(until))
                    .ifPresent(until -> pauses.put(instance, until));
            return new Known(isLeaving || notice.isLeaving(), pauses.buildKeepingLast());
        }

        private Known withoutPause(InstanceName instance) {
            return new Known(
                    isLeaving,
                    pausedUntilNanos.entrySet().stream()
                            .filter(entry -> !entry.getKey().equals(instance))
                            .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue)));
        }
    }
}
