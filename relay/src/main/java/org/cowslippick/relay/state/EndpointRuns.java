package org.cowslippick.relay.state;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.routing.LiveEndpoint;

/**
 * What the store has listed of endpoint runs. A store that restarts from an older copy may list a run as ready that has
 * begun to leave, even one that has been removed since, or an earlier run of an endpoint than the known one. Runs do not
 * return from either, so entries of a newer era are corrected. Within an era, entries are taken as they are.
 */
final class EndpointRuns {

    /** Copies are some seconds old; runs that are not listed for longer cannot come back by one. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    private final Map<RunKey, Listing> leaving = new HashMap<>();
    private final Map<String, LatestRun> latest = new HashMap<>();

    /** Returns the entries of an era without earlier runs, and with runs that were leaving before marked as leaving. */
    ImmutableList<LiveEndpoint> correct(ImmutableList<LiveEndpoint> entries, long era) {
        return entries.stream()
                .filter(entry -> !isEarlierRun(entry, era))
                .map(entry -> wasLeavingBefore(entry, era) ? withLeaving(entry) : entry)
                .collect(ImmutableList.toImmutableList());
    }

    /** Records corrected entries as the current ones. */
    void record(ImmutableList<LiveEndpoint> corrected, long era, long nowNanos) {
        corrected.forEach(entry -> {
            recordLeaving(entry, new Listing(era, nowNanos));
            recordRun(entry, new Listing(era, nowNanos));
        });
        leaving.values().removeIf(listing -> listing.isOutdated(nowNanos));
        latest.values().removeIf(run -> run.listing().isOutdated(nowNanos));
    }

    private void recordLeaving(LiveEndpoint entry, Listing listing) {
        if (entry.leaving()) {
            leaving.merge(RunKey.of(entry), listing, Listing::sinceFirst);
        } else {
            leaving.remove(RunKey.of(entry));
        }
    }

    private void recordRun(LiveEndpoint entry, Listing listing) {
        LatestRun known = latest.get(entry.id());
        boolean isKnown = known != null && known.startedAtMilliseconds() == entry.startedAtMilliseconds();
        latest.put(
                entry.id(),
                new LatestRun(
                        entry.startedAtMilliseconds(), isKnown ? known.listing().sinceFirst(listing) : listing));
    }

    private boolean wasLeavingBefore(LiveEndpoint entry, long era) {
        Listing known = leaving.get(RunKey.of(entry));
        return known != null && known.era() < era;
    }

    /** An unknown start is 0, and tells nothing of the order of runs. */
    private boolean isEarlierRun(LiveEndpoint entry, long era) {
        LatestRun known = latest.get(entry.id());
        return known != null
                && known.listing().era() < era
                && entry.startedAtMilliseconds() > 0
                && entry.startedAtMilliseconds() < known.startedAtMilliseconds();
    }

    private static LiveEndpoint withLeaving(LiveEndpoint entry) {
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

    private record LatestRun(long startedAtMilliseconds, Listing listing) {}

    /** The era in which something was first listed, and when it was last. */
    private record Listing(long era, long lastNanos) {

        Listing sinceFirst(Listing later) {
            return new Listing(Math.min(era, later.era), later.lastNanos);
        }

        boolean isOutdated(long nowNanos) {
            return nowNanos - lastNanos > RETENTION.toNanos();
        }
    }
}
