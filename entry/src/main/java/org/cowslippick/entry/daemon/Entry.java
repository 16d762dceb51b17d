package org.cowslippick.entry.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.net.HostAndPort;
import java.net.URI;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ForkJoinPool;
import java.util.function.Supplier;
import org.cowslippick.core.settings.EntrySettings;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.SystemTimerService;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.entry.door.AddressBook;
import org.cowslippick.entry.door.FrontDoor;
import org.cowslippick.entry.endpoint.ApplicationEngineClient;
import org.cowslippick.entry.endpoint.EndpointClients;
import org.cowslippick.entry.endpoint.EndpointHttp;
import org.cowslippick.entry.endpoint.ModelEngineClient;
import org.cowslippick.entry.metrics.EntryMetrics;
import org.cowslippick.entry.record.OnTimeRecord;
import org.cowslippick.entry.request.Admission;
import org.cowslippick.entry.request.RequestDesk;
import org.cowslippick.entry.request.RequestOutcomes;
import org.cowslippick.fleet.claim.ClaimService;
import org.cowslippick.fleet.claim.SigningKeys;
import org.cowslippick.fleet.claim.TicketCodec;
import org.cowslippick.fleet.grant.LocalGrantClient;
import org.cowslippick.fleet.grant.PoolFactory;
import org.cowslippick.fleet.platform.BudgetedPlatform;
import org.cowslippick.fleet.platform.HttpPlatform;
import org.cowslippick.fleet.platform.Platform;
import org.jboss.logging.Logger;
import ratpack.exec.internal.DefaultExecController;

/** One running entry with all its parts. */
public final class Entry implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.entry");
    private static final int CLIENT_EVENT_LOOPS = 4;
    private static final int TIMELINE_EVENTS = 20_000;
    private static final int PLATFORM_BURST_CALLS = 50;
    private static final Duration ADDRESSES_KEPT = Duration.ofSeconds(5);

    private final EntrySettings entrySettings;
    private final SystemTimerService timer;
    private final DefaultExecController controller;
    private final EndpointHttp http;
    private final LocalGrantClient grants;
    private final ClaimService claims;
    private final RequestDesk desk;
    private final FrontDoor door;

    /** Starts an entry. */
    public Entry(EntrySettings entrySettings, Supplier<SettingsTree> settings, PoolFactory pools) {
        this.entrySettings = entrySettings;
        this.timer = new SystemTimerService(failure -> LOG.error("timer task failed", failure));
        this.controller = new DefaultExecController(CLIENT_EVENT_LOOPS);
        this.http = new EndpointHttp(controller);
        Platform platform = new BudgetedPlatform(
                HttpPlatform.on(URI.create("http://" + entrySettings.platform().address()), timer, controller),
                timer,
                entrySettings.platform().callsPerSecond(),
                PLATFORM_BURST_CALLS,
                new SplittableRandom(entrySettings.instance().name().hashCode()));
        Incarnation incarnation = new Incarnation(timer.now().toEpochMilli());
        TicketCodec tickets = new TicketCodec(SigningKeys.of(entrySettings.peerKeys()));
        TicketOffice office = new TicketOffice(tickets, entrySettings.instance().name(), incarnation, timer);
        this.claims = new ClaimService(entrySettings.instance().name(), incarnation, platform, timer, _entry -> true);
        Timeline timeline = new Timeline(entrySettings.instance().name(), timer, TIMELINE_EVENTS);
        this.grants = new LocalGrantClient(timer, ForkJoinPool.commonPool(), pools);
        grants.host().replaceEndpoints(endpoints(settings.get()));
        EntryMetrics metrics = new EntryMetrics();
        OnTimeRecord record = new OnTimeRecord(timer);
        this.desk = new RequestDesk(
                entrySettings.instance(),
                timer,
                timeline,
                settings,
                grants,
                new EndpointClients(new ModelEngineClient(http), new ApplicationEngineClient(http)),
                claims,
                new RequestOutcomes(metrics, record));
        Admission admission = new Admission(entrySettings.instance(), timer, settings, tickets);
        this.door = new FrontDoor(
                entrySettings.instance().callerAddress(),
                new FrontDoor.DoorParts(
                        admission,
                        desk,
                        (organisation, _service) -> new AddressBook.Answer(
                                ImmutableList.of(address()), ADDRESSES_KEPT, office.issue(organisation)),
                        timeline,
                        metrics,
                        record,
                        entrySettings.instance().name(),
                        this::drain,
                        entrySettings.maximumBodyBytes()));
        LOG.infof("started entry=%s address=%s", entrySettings.instance().name(), address());
    }

    /** Where callers reach this entry. */
    public HostAndPort address() {
        return HostAndPort.fromParts(entrySettings.instance().callerAddress().getHost(), door.port());
    }

    /** Refuses new requests and lets those in flight end. */
    public void drain() {
        desk.drain();
    }

    /** Completes when the entry was drained and its last request has ended. */
    public CompletableFuture<Boolean> drained() {
        return desk.drained();
    }

    @Override
    public void close() {
        door.close();
        grants.host().close();
        claims.close();
        http.close();
        controller.close();
        timer.close();
    }

    private static ImmutableListMultimap<PoolKey, Endpoint> endpoints(SettingsTree tree) {
        return tree.endpoints().stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(Endpoint::poolKey, endpoint -> endpoint));
    }
}
