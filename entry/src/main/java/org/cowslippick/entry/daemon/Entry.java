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
import org.cowslippick.entry.endpoint.ApplicationEngineClient;
import org.cowslippick.entry.endpoint.EndpointClients;
import org.cowslippick.entry.endpoint.EndpointHttpClient;
import org.cowslippick.entry.endpoint.ModelEngineClient;
import org.cowslippick.entry.http.EntryHttpServer;
import org.cowslippick.entry.metrics.EntryMetrics;
import org.cowslippick.entry.record.OnTimeRecord;
import org.cowslippick.entry.request.Admission;
import org.cowslippick.entry.request.RequestLimits;
import org.cowslippick.entry.request.RequestManager;
import org.cowslippick.entry.request.RequestOutcomeRecorder;
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

/** A running entry: creates the components of the process, connects them and closes them in order. */
public final class Entry implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.entry");
    private static final int CLIENT_EVENT_LOOPS = 4;
    private static final int TIMELINE_CAPACITY_EVENTS = 20_000;
    private static final int PLATFORM_BURST_CALLS = 50;

    private final Instance self;
    private final SystemTimerService timer = new SystemTimerService(Entry::timerTaskFailed);
    private final DefaultExecController controller = new DefaultExecController(CLIENT_EVENT_LOOPS);
    private final EndpointHttpClient endpointHttpClient = new EndpointHttpClient(controller);
    private final Incarnation incarnation;
    private final FleetServices fleet;
    private final FleetGrantClient grants;
    private final ClaimService claims;
    private final LimitExchange limitExchange;
    private final RequestManager requests;
    private final EntryHttpServer httpServer;

    /** Starts an entry. The factory creates the scheduler of each pool whose ownership the entry takes over. */
    public Entry(EntrySettings settings, PoolFactory poolFactory) {
        this.self = settings.instance();
        this.incarnation = new Incarnation(timer.now().toEpochMilli());
        Timeline timeline = new Timeline(self.name(), timer, TIMELINE_CAPACITY_EVENTS);
        Platform platform = platform(settings);
        this.fleet = new FleetServices(settings, incarnation, timer, timeline, platform);
        this.grants = new FleetGrantClient(
                timer,
                MoreExecutors.directExecutor(),
                poolFactory,
                fleet.membership()::identity,
                fleet.network(),
                fleet.membership());
        this.claims = new ClaimService(self.name(), incarnation, platform, timer, fleet::isAlive);
        Supplier<SettingsTree> tree = () -> fleet.replica().current().tree();
        fleet.replica().subscribe(_snapshot -> applyEndpoints(tree.get()));
        applyEndpoints(tree.get());
        EntryMetrics metrics = new EntryMetrics();
        OnTimeRecord record = new OnTimeRecord(timer);
        RequestLimits limits = new RequestLimits(self.name(), timer, tree, this::memberCount);
        this.limitExchange = new LimitExchange(self.name(), limits, fleet.network(), fleet.membership(), tree, timer);
        this.requests = new RequestManager(
                self,
                timer,
                timeline,
                tree,
                grants,
                new EndpointClients(
                        new ModelEngineClient(endpointHttpClient), new ApplicationEngineClient(endpointHttpClient)),
                claims,
                new RequestOutcomeRecorder(metrics, record),
                limits);
        metrics.addGauge("cowslippick_requests_in_flight", "Requests queued or running here.", requests::inFlightCount);
        TicketCodec tickets = new TicketCodec(SigningKeys.of(settings.peerKeys()));
        this.httpServer = new EntryHttpServer(
                self.callerAddress(),
                new EntryHttpServer.Dependencies(
                        new Admission(self, timer, tree, tickets),
                        requests,
                        new FleetEntrySelector(
                                self,
                                fleet.membership()::current,
                                new TicketIssuer(tickets, self.name(), incarnation, timer)),
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

    /** The address at which callers reach this entry. */
    public HostAndPort address() {
        return HostAndPort.fromParts(self.callerAddress().getHost(), httpServer.port());
    }

    /** The revision of the settings in force at this entry, or 0 before the first settings arrive. */
    public long settingsRevision() {
        return fleet.replica().current().revision();
    }

    /** The number of members in the fleet as this entry sees it, including itself. */
    public int memberCount() {
        return fleet.membership().current().members().size();
    }

    /** Refuses new requests, hands over the owned pools and lets the requests in flight complete. */
    public void drain() {
        fleet.membership().leave();
        requests.drain();
    }

    /** Completes when the entry has been drained and its last request has ended. */
    public CompletableFuture<Boolean> drained() {
        return requests.drained();
    }

    @Override
    public void close() {
        httpServer.close();
        grants.close();
        claims.close();
        limitExchange.close();
        fleet.close();
        endpointHttpClient.close();
        controller.close();
        timer.close();
    }

    private EntryStatus status() {
        return EntryStatus.of(
                self,
                incarnation,
                settingsRevision(),
                requests,
                fleet.membership().current(),
                grants.host().pools());
    }

    private void applyEndpoints(SettingsTree tree) {
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
