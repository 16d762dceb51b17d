package org.cowslippick.relay.state;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.routing.LiveEndpoint;

/**
 * The endpoint runs that the store has listed as leaving. A store that restarts from an older copy may list them as
 * ready, even those that have been removed since, although a run that leaves never returns.
 */
final class LeavingRuns {

    /** Copies are some seconds old; runs that are not listed for longer cannot come back by one. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    private final Map<RunKey, LeavingRun> runs = new HashMap<>();

    /** Returns the entries with those of runs that were leaving in an older era marked as leaving. */
    ImmutableList<LiveEndpoint> markLeaving(ImmutableList<LiveEndpoint> entries, long era) {
        return entries.stream()
                .map(entry -> wasLeavingBefore(entry, era) ? leaving(entry) : entry)
                .collect(ImmutableList.toImmutableList());
    }

    /** Records the marked entries as the current ones. */
    void record(ImmutableList<LiveEndpoint> marked, long era, long nowNanos) {
        marked.forEach(entry -> {
            if (entry.leaving()) {
                long since = wasLeavingBefore(entry, era)
                        ? runs.get(RunKey.of(entry)).era()
                        : era;
                runs.put(RunKey.of(entry), new LeavingRun(since, nowNanos));
            } else {
                runs.remove(RunKey.of(entry));
            }
        });
        runs.values().removeIf(run -> nowNanos - run.lastListedNanos() > RETENTION.toNanos());
    }

    private boolean wasLeavingBefore(LiveEndpoint entry, long era) {
        LeavingRun known = runs.get(RunKey.of(entry));
        return known != null && known.era() < era;
    }

    private static LiveEndpoint leaving(LiveEndpoint entry) {
        return new LiveEndpoint(
                entry.id(),
                entry.service(),
                entry.address(),
                entry.failureDomain(),
                entry.slots(),
                true,
                entry.version(),
                entry.startedAtMilliseconds(),
                entry.softwareVersion());
    }

    /** What tells runs apart, as in {@link LiveEndpoint#isSameRun}. */
    private record RunKey(String id, HostAndPort address, long startedAtMilliseconds) {
        static RunKey of(LiveEndpoint endpoint) {
            return new RunKey(endpoint.id(), endpoint.address(), endpoint.startedAtMilliseconds());
        }
    }

    /** The era in which a run was first listed as leaving, and when it was last listed. */
    private record LeavingRun(long era, long lastListedNanos) {}
}
