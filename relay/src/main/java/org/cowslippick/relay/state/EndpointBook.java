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
public final class EndpointBook {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.endpoints");

    /** The platform's promise is two seconds; the rest is for the way of the last change. */
    private static final Duration RETURN_GRACE = Duration.ofMillis(2200);

    private static final long NEVER_READ = -1;

    private final TimerService timer;
    private final Consumer<ImmutableList<LiveEndpoint>> consumer;
    private ImmutableMap<String, LiveEndpoint> registered = ImmutableMap.of();
    private ImmutableMap<String, LiveEndpoint> used = ImmutableMap.of();
    private Optional<Long> graceUntilNanos = Optional.empty();
    private long revision = NEVER_READ;
    private boolean storeAway = true;

    /** Creates an empty book; the consumer hears of each change. */
    public EndpointBook(TimerService timer, Consumer<ImmutableList<LiveEndpoint>> consumer) {
        this.timer = timer;
        this.consumer = consumer;
    }

    /** The store does not answer; other instances may know more until it does. */
    public void storeLost() {
        storeAway = true;
    }

    /** The store answered again after it had been away. */
    public void storeReturned() {
        storeAway = false;
        graceUntilNanos = Optional.of(timer.nanoTime() + RETURN_GRACE.toNanos());
        timer.after(RETURN_GRACE, this::update);
    }

    /** Takes over all entries that the store held at the revision. */
    public void replace(ImmutableList<LiveEndpoint> entries, long asOf) {
        storeAway = false;
        if (asOf >= revision) {
            take(entries, asOf);
        }
    }

    /** Takes over what another instance read in the store, if this one cannot read it and knows less. */
    public void offer(ImmutableList<LiveEndpoint> entries, long asOf) {
        if (wants(asOf)) {
            take(entries, asOf);
        }
    }

    /** Whether the store cannot be read here. */
    public boolean isStoreAway() {
        return storeAway;
    }

    /** Whether entries of the revision, read by another instance, would be newer than what can be read here. */
    public boolean wants(long asOf) {
        return storeAway && asOf > revision;
    }

    /** The store's revision at which the entries were first read as they are; negative if they never were. */
    public long revision() {
        return revision;
    }

    /** The endpoints to use, those that are kept after an outage among them. */
    public ImmutableList<LiveEndpoint> used() {
        return used.values().asList();
    }

    private void take(ImmutableList<LiveEndpoint> entries, long asOf) {
        ImmutableMap<String, LiveEndpoint> taken = Maps.uniqueIndex(entries, LiveEndpoint::id);
        if (revision == NEVER_READ || !taken.equals(registered)) {
            revision = asOf;
            registered = taken;
            update();
        }
    }

    private void update() {
        boolean grace =
                graceUntilNanos.filter(until -> timer.nanoTime() < until).isPresent();
        Stream<LiveEndpoint> missing = used.values().stream()
                .filter(endpoint -> grace && !registered.containsKey(endpoint.id()) && !endpoint.leaving());
        ImmutableMap<String, LiveEndpoint> next = Stream.concat(registered.values().stream(), missing)
                .collect(ImmutableMap.toImmutableMap(LiveEndpoint::id, endpoint -> endpoint));
        if (!next.equals(used)) {
            log(next);
            used = next;
            consumer.accept(next.values().asList());
        }
    }

    private void log(ImmutableMap<String, LiveEndpoint> next) {
        used.values().stream()
                .filter(endpoint -> !next.containsKey(endpoint.id()))
                .forEach(endpoint -> LOGGER.info(line("endpoint-gone", endpoint)));
        next.values().stream()
                .filter(endpoint -> !endpoint.equals(used.get(endpoint.id())))
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
