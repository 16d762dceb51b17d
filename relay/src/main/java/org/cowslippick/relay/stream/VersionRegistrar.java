package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.log.LogLine;
import org.cowslippick.relay.stream.PresentVersions.Presence;
import org.cowslippick.relay.stream.PresentVersions.State;
import org.cowslippick.relay.stream.PresentVersions.Version;
import org.cowslippick.scheduler.stream.ServiceVersions;
import org.jboss.logging.Logger;

/**
 * Passes on endpoints of streamed services once the store holds that their software version may begin streams, so that
 * an instance that starts later knows of it. Endpoints are held back for a short time at most.
 */
public final class VersionRegistrar {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.versions");

    private static final Duration MAXIMUM_HOLD = Duration.ofSeconds(1);
    private static final Duration REMOVAL_PERIOD = Duration.ofSeconds(20);

    /** Spreads the removals of the instances, as the first one spares the others the write. */
    private static final long MAXIMUM_REMOVAL_DELAY_MILLISECONDS = 10_000;

    private final TimerService timer;
    private final ServiceVersions versions;
    private final Predicate<ServiceName> isStreamed;
    private final Consumer<ImmutableList<LiveEndpoint>> consumer;
    private final PresentVersions present = new PresentVersions();
    private final VersionSynchroniser synchroniser;
    private ImmutableList<LiveEndpoint> endpoints = ImmutableList.of();
    private ImmutableList<LiveEndpoint> passedOn = ImmutableList.of();
    private boolean isStoreLost;

    /** Creates a registrar without endpoints; the consumer receives those to use after each change. */
    public VersionRegistrar(
            TimerService timer,
            VersionStore store,
            ServiceVersions versions,
            Predicate<ServiceName> isStreamed,
            Consumer<ImmutableList<LiveEndpoint>> consumer) {
        this.timer = timer;
        this.versions = versions;
        this.isStreamed = isStreamed;
        this.consumer = consumer;
        this.synchroniser = new VersionSynchroniser(timer, store, versions, present, this::passOnChanges);
    }

    /** Sets what is called with the versions of each service that had served when this process started. */
    public void setEstablishedListener(BiConsumer<ServiceName, ImmutableSet<String>> listener) {
        synchroniser.setEstablishedListener(listener);
    }

    /** Loads the registry, until the store answers, and removes outdated versions from time to time. */
    public void start() {
        synchroniser.synchronise();
        timer.scheduleWithFixedDelay(REMOVAL_PERIOD, this::scheduleRemoval);
    }

    /** Replaces the endpoints, of which those with unregistered versions are held back. */
    public void setEndpoints(ImmutableList<LiveEndpoint> current) {
        endpoints = current;
        versions.update(current, timer.nanoTime());
        updatePresent();
        passOn(selectUsable());
    }

    /** Whether an instance that starts now would take the streams of the service to be of several versions. */
    public boolean isRegisteredMixed(ServiceName service) {
        return synchroniser.isMixed(service);
    }

    /** Calls back with whether the store's registry names the version alone now; with nothing if it cannot be read. */
    void confirmOnly(ServiceName service, String version, Consumer<Optional<Boolean>> onConfirmed) {
        synchroniser.confirmOnly(service, version, onConfirmed);
    }

    /** Applies a change of the services that are streamed. */
    public void refresh() {
        updatePresent();
        passOnChanges();
    }

    /** Registers all versions again, as an older copy of the store may lack them; none is held back anew. */
    public void storeRestarted() {
        present.change((_version, presence) -> presence.state() == State.CONFIRMED, State.PASSED_ON_UNCONFIRMED);
        synchroniser.restoreAll();
        synchroniser.synchronise();
    }

    /** Records that this instance does not read the store; the instances that do have registered what they pass on. */
    public void storeLost() {
        isStoreLost = true;
        synchroniser.setStoreLost(true);
        passOnUnconfirmed(Logger.Level.INFO, (_version, _presence) -> true, "store lost");
        passOnChanges();
    }

    /** Records that this instance reads the store, and registers what has appeared in the meantime. */
    public void storeRecovered() {
        isStoreLost = false;
        synchroniser.setStoreLost(false);
        synchroniser.synchronise();
    }

    private void updatePresent() {
        ImmutableSet<Version> known = passedOn.stream().map(Version::of).collect(ImmutableSet.toImmutableSet());
        ImmutableSet<Version> added = present.replace(
                endpoints.stream()
                        .filter(endpoint -> isStreamed.test(endpoint.service()))
                        .map(Version::of)
                        .collect(ImmutableSet.toImmutableSet()),
                timer.nanoTime());
        passOnUnconfirmed(
                Logger.Level.INFO, (version, _presence) -> known.contains(version), "service was not streamed before");
        if (isStoreLost) {
            passOnUnconfirmed(Logger.Level.INFO, (_version, _presence) -> true, "store lost");
        }
        ImmutableSet<Version> held = added.stream().filter(present::isHeld).collect(ImmutableSet.toImmutableSet());
        if (!held.isEmpty()) {
            held.forEach(version -> LOGGER.info(line("version-held-back", version)));
            timer.schedule(MAXIMUM_HOLD, this::passOnOverdue);
        }
        synchroniser.synchronise();
    }

    private void passOnOverdue() {
        long now = timer.nanoTime();
        passOnUnconfirmed(
                Logger.Level.WARN,
                (_version, presence) -> now - presence.sinceNanos() >= MAXIMUM_HOLD.toNanos(),
                "store did not confirm in time");
        passOnChanges();
    }

    private void passOnUnconfirmed(Logger.Level level, BiPredicate<Version, Presence> selected, String cause) {
        present.change(
                        (version, presence) -> presence.state() == State.HELD && selected.test(version, presence),
                        State.PASSED_ON_UNCONFIRMED)
                .keySet()
                .forEach(version ->
                        LOGGER.log(level, line("version-unconfirmed", version).with("cause", cause)));
    }

    private void passOnChanges() {
        ImmutableList<LiveEndpoint> usable = selectUsable();
        if (!usable.equals(passedOn)) {
            passOn(usable);
        }
    }

    private void passOn(ImmutableList<LiveEndpoint> usable) {
        passedOn = usable;
        consumer.accept(usable);
    }

    private ImmutableList<LiveEndpoint> selectUsable() {
        return endpoints.stream()
                .filter(endpoint -> !present.isHeld(Version.of(endpoint)))
                .collect(ImmutableList.toImmutableList());
    }

    private void scheduleRemoval() {
        refresh();
        timer.schedule(
                Duration.ofMillis(ThreadLocalRandom.current().nextLong(MAXIMUM_REMOVAL_DELAY_MILLISECONDS)),
                synchroniser::removeOutdated);
    }

    private static LogLine line(String event, Version version) {
        return LogLine.of(event)
                .with("service", version.service().value())
                .with("softwareVersion", version.softwareVersion());
    }
}
