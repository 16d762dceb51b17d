package org.cowslippick.entry.daemon;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.net.HostAndPort;
import com.google.common.util.concurrent.MoreExecutors;
import java.net.URI;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.SystemTimerService;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.entry.door.FrontDoor;
import org.cowslippick.entry.endpoint.ApplicationEngineClient;
import org.cowslippick.entry.endpoint.EndpointClients;
import org.cowslippick.entry.endpoint.EndpointHttp;
import org.cowslippick.entry.endpoint.ModelEngineClient;
import org.cowslippick.entry.metrics.EntryMetrics;
import org.cowslippick.entry.record.OnTimeRecord;
import org.cowslippick.entry.request.Admission;
import org.cowslippick.entry.request.RequestDesk;
import org.cowslippick.entry.request.RequestLimits;
import org.cowslippick.entry.request.RequestOutcomes;
import org.cowslippick.fleet.claim.ClaimService;
import org.cowslippick.fleet.claim.SigningKeys;
import org.cowslippick.fleet.claim.TicketCodec;
import org.cowslippick.fleet.grant.FleetGrantClient;
import org.cowslippick.fleet.grant.PoolFactory;
import org.cowslippick.fleet.limit.LimitExchange;
import org.cowslippick.fleet.platform.HttpPlatform;
import org.cowslippick.fleet.platform.Platform;
import org.cowslippick.fleet.platform.RateLimitedPlatform;
import org.cowslippick.fleet.settings.SettingsStore;
import org.jboss.logging.Logger;
import ratpack.exec.internal.DefaultExecController;

/** One running entry with all its parts. */
public final class Entry implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.entry");
    private static final int CLIENT_EVENT_LOOPS = 4;
    private static final int TIMELINE_EVENTS = 20_000;
    private static final int PLATFORM_BURST_CALLS = 50;

    private final Instance self;
    private final SystemTimerService timer = new SystemTimerService(Entry::timerTaskFailed);
    private final DefaultExecController controller = new DefaultExecController(CLIENT_EVENT_LOOPS);
    private final EndpointHttp http = new EndpointHttp(controller);
    private final Incarnation incarnation;
    private final FleetLink fleet;
    private final FleetGrantClient grants;
    private final ClaimService claims;
    private final LimitExchange limitExchange;
    private final RequestDesk desk;
    private final FrontDoor door;

    /** Starts an entry, whose pools are made by the factory when it comes to own them. */
    public Entry(EntrySettings settings, PoolFactory pools) {
        this.self = settings.instance();
        this.incarnation = new Incarnation(timer.now().toEpochMilli());
        Timeline timeline = new Timeline(self.name(), timer, TIMELINE_EVENTS);
        Platform platform = platform(settings);
        this.fleet = new FleetLink(settings, incarnation, timer, timeline, platform);
        this.grants = new FleetGrantClient(
                timer,
                MoreExecutors.directExecutor(),
                pools,
                fleet.membership()::identity,
                fleet.network(),
                fleet.membership());
        this.claims = new ClaimService(self.name(), incarnation, platform, timer, fleet::alive);
        Supplier<SettingsTree> tree = () -> fleet.replica().current().tree();
        fleet.replica().subscribe(_applied -> useEndpoints(tree.get()));
        useEndpoints(tree.get());
        EntryMetrics metrics = new EntryMetrics();
        OnTimeRecord record = new OnTimeRecord(timer);
        RequestLimits limits = new RequestLimits(self.name(), timer, tree, this::memberCount);
        this.limitExchange = new LimitExchange(self.name(), limits, fleet.network(), fleet.membership(), tree, timer);
        this.desk = new RequestDesk(
                self,
                timer,
                timeline,
                tree,
                grants,
                new EndpointClients(new ModelEngineClient(http), new ApplicationEngineClient(http)),
                claims,
                new RequestOutcomes(metrics, record),
                limits);
        metrics.gauge("cowslippick_requests_in_flight", "Requests queued or running here.", desk::inFlight);
        TicketCodec tickets = new TicketCodec(SigningKeys.of(settings.peerKeys()));
        this.door = new FrontDoor(
                self.callerAddress(),
                new FrontDoor.DoorParts(
                        new Admission(self, timer, tree, tickets),
                        desk,
                        new FleetAddresses(
                                self,
                                fleet.membership()::current,
                                new TicketOffice(tickets, self.name(), incarnation, timer)),
                        timeline,
                        metrics,
                        record,
                        self.name(),
                        this::status,
                        new EntrySettingsService(fleet.replica(), new SettingsStore(platform, timer), timeline),
                        this::drain,
                        settings.maximumBodyBytes()));
        LOG.infof("started entry=%s incarnation=%d address=%s", self.name(), incarnation.number(), address());
    }

    /** Where callers reach this entry. */
    public HostAndPort address() {
        return HostAndPort.fromParts(self.callerAddress().getHost(), door.port());
    }

    /** The revision of the settings in force here; 0 before any were found. */
    public long settingsRevision() {
        return fleet.replica().current().revision();
    }

    /** How many entries this one knows, itself included. */
    public int memberCount() {
        return fleet.membership().current().members().size();
    }

    /** Refuses new requests, hands its pools over and lets requests in flight end. */
    public void drain() {
        fleet.membership().leave();
        desk.drain();
    }

    /** Completes when the entry was drained and its last request has ended. */
    public CompletableFuture<Boolean> drained() {
        return desk.drained();
    }

    @Override
    public void close() {
        door.close();
        grants.close();
        claims.close();
        limitExchange.close();
        fleet.close();
        http.close();
        controller.close();
        timer.close();
    }

    private EntryStatus status() {
        return EntryStatus.of(
                self,
                incarnation,
                settingsRevision(),
                desk,
                fleet.membership().current(),
                grants.host().pools());
    }

    private void useEndpoints(SettingsTree tree) {
        grants.host()
                .replaceEndpoints(tree.endpoints().stream()
                        .collect(ImmutableListMultimap.<Endpoint, PoolKey, Endpoint>toImmutableListMultimap(
                                Endpoint::poolKey, endpoint -> endpoint)));
    }

    private Platform platform(EntrySettings settings) {
        URI address = URI.create("http://" + settings.platform().address());
        return new RateLimitedPlatform(
                HttpPlatform.on(address, timer, controller),
                timer,
                settings.platform().callsPerSecond(),
                PLATFORM_BURST_CALLS,
                new SplittableRandom(incarnation.number()));
    }

    private static void timerTaskFailed(Throwable failure) {
        LOG.error("timer task failed", failure);
    }
}
