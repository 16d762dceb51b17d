package org.cowslippick.relay.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * The endpoints in use. While the store is unavailable, entries of live endpoints expire; they are registered again
 * within two seconds of its recovery. Endpoints that the store does not list after an outage are therefore kept for
 * that time. Only registered endpoints are passed on to other instances, which apply grace periods of their own:
 * otherwise an endpoint would outlive the grace period of the instance that kept it.
 *
 * <p>A newer era of the store counts as an outage; what its copy says of runs is corrected by what is known.
 */
public final class EndpointDirectory {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.endpoints");

    /** The platform guarantees registration within two seconds; the rest allows for delivery of the last change. */
    private static final Duration RECOVERY_GRACE_PERIOD = Duration.ofMillis(2200);

    private static final String STORE = "store";

    private final TimerService timer;
    private final Consumer<ImmutableList<LiveEndpoint>> consumer;
    private final EndpointRuns runs = new EndpointRuns();
    private ImmutableMap<String, LiveEndpoint> registered = ImmutableMap.of();
    private ImmutableMap<String, LiveEndpoint> active = ImmutableMap.of();
    private ImmutableMap<String, KeptEndpoint> kept = ImmutableMap.of();
    private Optional<Long> gracePeriodEndNanos = Optional.empty();
    private StorePosition position = StorePosition.NEVER_READ;
    private boolean storeUnavailable = true;

    /** Creates an empty directory; the consumer receives the active endpoints after each change. */
    public EndpointDirectory(TimerService timer, Consumer<ImmutableList<LiveEndpoint>> consumer) {
        this.timer = timer;
        this.consumer = consumer;
    }

    /** Records that this instance does not read the store, or cannot reach it. */
    public void storeLost() {
        storeUnavailable = true;
    }

    /** Records that the store is reachable again, and starts the grace period. */
    public void storeRecovered() {
        storeUnavailable = false;
        startGracePeriod();
    }

    /** Keeps endpoints whose entries are missing after an outage; endpoints that are kept already are not kept longer. */
    public void startGracePeriod() {
        gracePeriodEndNanos = Optional.of(timer.nanoTime() + RECOVERY_GRACE_PERIOD.toNanos());
        timer.schedule(RECOVERY_GRACE_PERIOD, () -> update("end of the grace period"));
    }

    /** Replaces all entries by those that a store without eras held at the revision. */
    public void replace(ImmutableList<LiveEndpoint> entries, long storeRevision) {
        replace(entries, new StorePosition(0, storeRevision));
    }

    /** Replaces all entries by those that the store held at the position. */
    public void replace(ImmutableList<LiveEndpoint> entries, StorePosition read) {
        storeUnavailable = false;
        if (!position.isNewerThan(read)) {
            apply(entries, read, STORE);
        }
    }

    /** Applies entries that the peer read from the store, if {@link #isBehind} holds. */
    public void applyFromPeer(ImmutableList<LiveEndpoint> entries, StorePosition read, InstanceName peer) {
        if (isBehind(read)) {
            apply(entries, read, peer.value());
            // Entries that are equal at both positions need not be requested again.
            position = read;
        }
    }

    public boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /** Whether this instance knows an older position than the given one. */
    public boolean isBehind(StorePosition other) {
        return other.isNewerThan(position);
    }

    /** The position at which the current entries were first read in its era, here or by the peer that they came from. */
    public StorePosition position() {
        return position;
    }

    /** The endpoints that the store listed at {@link #position}. */
    public ImmutableList<LiveEndpoint> registered() {
        return registered.values().asList();
    }

    /** The endpoints in use, including those kept after an outage. */
    public ImmutableList<LiveEndpoint> active() {
        return active.values().asList();
    }

    private void apply(ImmutableList<LiveEndpoint> entries, StorePosition read, String source) {
        boolean isNewEra = read.isOfNewerEraThan(position);
        ImmutableList<LiveEndpoint> corrected = runs.correct(entries, read.era());
        runs.record(corrected, read.era(), timer.nanoTime());
        if (isNewEra) {
            LOGGER.warn(LogLine.of("store-era-changed")
                    .with("before", position.era())
                    .with("after", read.era())
                    .with("revision", read.revision())
                    .with("source", source));
            startGracePeriod();
        }
        ImmutableMap<String, LiveEndpoint> received = Maps.uniqueIndex(corrected, LiveEndpoint::id);
        if (isNewEra || !position.isRead() || !received.equals(registered)) {
            position = read;
            registered = received;
            update(source);
        }
    }

    private void update(String source) {
        ImmutableMap<String, KeptEndpoint> nextKept = nextKept();
        ImmutableMap<String, LiveEndpoint> next = Stream.concat(
                        registered.values().stream(), nextKept.values().stream().map(KeptEndpoint::endpoint))
                .collect(ImmutableMap.toImmutableMap(LiveEndpoint::id, endpoint -> endpoint));
        if (!next.equals(active) || !nextKept.equals(kept)) {
            log(next, nextKept, source);
            active = next;
            kept = nextKept;
            consumer.accept(next.values().asList());
        }
    }

    private ImmutableMap<String, KeptEndpoint> nextKept() {
        long now = timer.nanoTime();
        return active.values().stream()
                .filter(endpoint -> !registered.containsKey(endpoint.id()) && !endpoint.leaving())
                .flatMap(endpoint -> Optional.ofNullable(kept.get(endpoint.id()))
                        .or(() -> gracePeriodEndNanos.map(end -> new KeptEndpoint(endpoint, end)))
                        .stream())
                .filter(keptEndpoint -> now - keptEndpoint.untilNanos() < 0)
                .collect(ImmutableMap.toImmutableMap(
                        keptEndpoint -> keptEndpoint.endpoint().id(), keptEndpoint -> keptEndpoint));
    }

    private void log(
            ImmutableMap<String, LiveEndpoint> next, ImmutableMap<String, KeptEndpoint> nextKept, String source) {
        if (active.isEmpty()) {
            LOGGER.info(LogLine.of("endpoints-loaded")
                    .with("source", source)
                    .with("era", position.era())
                    .with("revision", position.revision())
                    .with("endpoints", describe(next)));
            return;
        }
        active.values().stream()
                .filter(endpoint -> !next.containsKey(endpoint.id()))
                .forEach(endpoint -> LOGGER.info(line("endpoint-gone", endpoint, source)));
        nextKept.values().stream()
                .map(KeptEndpoint::endpoint)
                .filter(endpoint -> !kept.containsKey(endpoint.id()))
                .forEach(endpoint -> LOGGER.info(line("endpoint-kept", endpoint, source)));
        next.values().stream()
                .filter(endpoint -> !endpoint.equals(active.get(endpoint.id())))
                .forEach(endpoint -> LOGGER.info(line("endpoint-changed", endpoint, source)));
    }

    private LogLine line(String event, LiveEndpoint endpoint, String source) {
        return LogLine.of(event)
                .with("endpoint", endpoint.id())
                .with("service", endpoint.service().value())
                .with("address", endpoint.address().toString())
                .with("leaving", endpoint.leaving())
                .with("version", endpoint.version())
                .with("softwareVersion", endpoint.softwareVersion())
                .with("source", source)
                .with("era", position.era())
                .with("revision", position.revision());
    }

    /** One short entry per endpoint, as the first list would otherwise take a line for each. */
    private static String describe(ImmutableMap<String, LiveEndpoint> endpoints) {
        return endpoints.values().stream()
                .map(endpoint -> endpoint.id() + "=" + endpoint.address() + " " + endpoint.softwareVersion()
                        + (endpoint.leaving() ? " leaving" : ""))
                .collect(Collectors.joining(","));
    }

    /** An endpoint without an entry, which is removed at the given time unless it is registered again. */
    private record KeptEndpoint(LiveEndpoint endpoint, long untilNanos) {}
}
