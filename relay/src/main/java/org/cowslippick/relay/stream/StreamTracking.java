package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.metrics.RelayEvent;
import org.cowslippick.scheduler.stream.ServiceVersions;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.cowslippick.scheduler.stream.StreamOrigins;

/**
 * Tracks which software versions begin streams on this instance and in the fleet. The origin of a stream is a fact, which is
 * recorded when its first event arrives and passed on as it is. That a service has one version only is a deduction from the
 * endpoints and the registry of the store; it is never recorded, and counts only if the registry confirms it. All methods
 * must be called on one event loop.
 */
public final class StreamTracking implements StreamVersions {

    /** Engines write their entries again within two seconds of a restart of the store. */
    private static final Duration RESTORATION = Duration.ofSeconds(3);

    private final TimerService timer;
    private final ResumableRoutes routes;
    private final ServiceVersions versions;
    private final StreamOrigins origins;
    private final StreamOrigins granted;
    private final VersionRegistrar registrar;
    private final OriginJournal journal;
    private final OriginFinder finder;
    private OriginPeers peers = (_service, _stream, onAnswers) ->
            onAnswers.accept(new OriginPeers.Answers(ImmutableList.of(), true, false));
    private Optional<Long> storeRestartedAtNanos = Optional.empty();

    /**
     * Creates the tracking of an instance without endpoints.
     *
     * @param consumer receives the endpoints to use after each change
     */
    public StreamTracking(
            TimerService timer,
            InstanceName self,
            Supplier<RoutingTable> routing,
            VersionStore versionStore,
            OriginStore originStore,
            Consumer<ImmutableList<LiveEndpoint>> consumer,
            Consumer<RelayEvent> counter) {
        this.timer = timer;
        this.routes = new ResumableRoutes(routing);
        this.versions = new ServiceVersions(routes::windowNanos);
        this.origins = new StreamOrigins(routes::windowNanos);
        this.granted = new StreamOrigins(routes::windowNanos);
        this.registrar = new VersionRegistrar(timer, versionStore, versions, routes::isResumable, consumer);
        this.journal =
                new OriginJournal(timer, self, originStore, this::isMixed, routes::windowNanos, this::recordOrigin);
        this.finder = new OriginFinder(
                timer,
                origins,
                this::onlyVersion,
                service -> versions.possible(service, timer.nanoTime()),
                registrar::confirmOnly,
                (service, stream, onAnswers) -> peers.ask(service, stream, onAnswers),
                journal::read,
                counter);
    }

    /** Sets what is called with the versions of each service that had served when this process started. */
    public void setEstablishedListener(BiConsumer<ServiceName, ImmutableSet<String>> listener) {
        registrar.setEstablishedListener(listener);
    }

    /** Starts to read and write the store. */
    public void start() {
        registrar.start();
    }

    /** Sets whom to ask for the origins of streams that other instances have begun. */
    public void setPeers(OriginPeers others) {
        peers = others;
    }

    /** Takes the active endpoints, and passes them on once the store knows their versions. */
    public void setEndpoints(ImmutableList<LiveEndpoint> endpoints) {
        registrar.setEndpoints(endpoints);
        journal.mixedChanged();
    }

    /** Applies the routes of a new configuration. */
    public void routesChanged() {
        registrar.refresh();
    }

    public void storeLost() {
        registrar.storeLost();
    }

    public void storeRecovered() {
        registrar.storeRecovered();
    }

    /** Writes once more what an older copy of the store lacks. */
    public void storeRestarted() {
        storeRestartedAtNanos = Optional.of(timer.nanoTime());
        registrar.storeRestarted();
    }

    /** Records the origin of a stream whose slot this instance granted; repeated calls have no effect. */
    public void recordGranted(StreamOrigin origin) {
        recordOrigin(origin);
        if (granted.record(origin, timer.nanoTime())) {
            journal.record(origin);
        }
    }

    @Override
    public void recordOrigin(StreamOrigin origin) {
        origins.record(origin, timer.nanoTime());
    }

    @Override
    public void find(ServiceName service, long stream, Consumer<Optional<String>> onFound) {
        finder.find(service, stream, onFound);
    }

    /** What this instance answers others. */
    public OriginAnswer answer(ServiceName service, long stream) {
        return finder.answer(service, stream);
    }

    /** The number of streams whose origin is in memory. */
    public long originCount() {
        return origins.size();
    }

    /** The number of services whose streams several versions can have begun. */
    public long mixedCount() {
        return routes.services().stream().filter(this::isMixed).count();
    }

    /** As long as the store names several versions, an instance that starts can learn of a stream from the journal only. */
    private boolean isMixed(ServiceName service) {
        return versions.isMixed(service, timer.nanoTime()) || registrar.isRegisteredMixed(service);
    }

    /** A store that has restarted from an older copy lacks entries for a while. */
    private Optional<String> onlyVersion(ServiceName service) {
        long now = timer.nanoTime();
        return versions.only(service, now).filter(_version -> storeRestartedAtNanos
                .filter(restarted -> now - restarted <= RESTORATION.toNanos())
                .isEmpty());
    }
}
