package org.cowslippick.relay.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * The endpoints to use. Entries lapse while the store is away although their endpoints live; they come back within two
 * seconds of its return, so that long an endpoint is kept that an answer after an outage does not name.
 */
public final class EndpointDirectory {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.endpoints");

    /** The platform's promise is two seconds; the rest is for the way of the last change. */
    private static final Duration RECOVERY_GRACE_PERIOD = Duration.ofMillis(2200);

    private static final long NEVER_READ = -1;

    private final TimerService timer;
    private final Consumer<ImmutableList<LiveEndpoint>> consumer;
    private ImmutableMap<String, LiveEndpoint> registered = ImmutableMap.of();
    private ImmutableMap<String, LiveEndpoint> active = ImmutableMap.of();
    private Optional<Long> gracePeriodEndNanos = Optional.empty();
    private long revision = NEVER_READ;
    private boolean storeUnavailable = true;

    /** Creates an empty book; the consumer hears of each change. */
    public EndpointDirectory(TimerService timer, Consumer<ImmutableList<LiveEndpoint>> consumer) {
        this.timer = timer;
        this.consumer = consumer;
    }

    /** The store does not answer; other instances may know more until it does. */
    public void storeLost() {
        storeUnavailable = true;
    }

    /** The store answered again after it had been away. */
    public void storeRecovered() {
        storeUnavailable = false;
        gracePeriodEndNanos = Optional.of(timer.nanoTime() + RECOVERY_GRACE_PERIOD.toNanos());
        timer.after(RECOVERY_GRACE_PERIOD, this::update);
    }

    /** Takes over all entries that the store held at the revision. */
    public void replace(ImmutableList<LiveEndpoint> entries, long storeRevision) {
        storeUnavailable = false;
        if (storeRevision >= revision) {
            apply(entries, storeRevision);
        }
    }

    /** Takes over what another instance read in the store, if this one cannot read it and knows less. */
    public void applyFromPeer(ImmutableList<LiveEndpoint> entries, long storeRevision) {
        if (isBehind(storeRevision)) {
            apply(entries, storeRevision);
        }
    }

    /** Whether the store cannot be read here. */
    public boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /** Whether entries of the revision, read by another instance, would be newer than what can be read here. */
    public boolean isBehind(long storeRevision) {
        return storeUnavailable && storeRevision > revision;
    }

    /** The store's revision at which the entries were first read as they are; negative if they never were. */
    public long revision() {
        return revision;
    }

    /** The endpoints to use, those that are kept after an outage among them. */
    public ImmutableList<LiveEndpoint> active() {
        return active.values().asList();
    }

    private void apply(ImmutableList<LiveEndpoint> entries, long storeRevision) {
        ImmutableMap<String, LiveEndpoint> received = Maps.uniqueIndex(entries, LiveEndpoint::id);
        if (revision == NEVER_READ || !received.equals(registered)) {
            revision = storeRevision;
            registered = received;
            update();
        }
    }

    private void update() {
        boolean inGracePeriod =
                gracePeriodEndNanos.filter(until -> timer.nanoTime() < until).isPresent();
        Stream<LiveEndpoint> missing = active.values().stream()
                .filter(endpoint -> inGracePeriod && !registered.containsKey(endpoint.id()) && !endpoint.leaving());
        ImmutableMap<String, LiveEndpoint> next = Stream.concat(registered.values().stream(), missing)
                .collect(ImmutableMap.toImmutableMap(LiveEndpoint::id, endpoint -> endpoint));
        if (!next.equals(active)) {
            log(next);
            active = next;
            consumer.accept(next.values().asList());
        }
    }

    private void log(ImmutableMap<String, LiveEndpoint> next) {
        active.values().stream()
                .filter(endpoint -> !next.containsKey(endpoint.id()))
                .forEach(endpoint -> LOGGER.info(line("endpoint-gone", endpoint)));
        next.values().stream()
                .filter(endpoint -> !endpoint.equals(active.get(endpoint.id())))
                .forEach(endpoint -> LOGGER.info(line("endpoint-changed", endpoint)));
    }

    private static LogLine line(String event, LiveEndpoint endpoint) {
        return LogLine.of(event)
                .with("endpoint", endpoint.id())
                .with("service", endpoint.service().value())
                .with("address", endpoint.address().toString())
                .with("leaving", endpoint.leaving())
                .with("version", endpoint.version());
    }
}
