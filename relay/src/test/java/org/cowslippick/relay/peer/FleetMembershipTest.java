package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.OrganisationAccess;
import org.cowslippick.core.routing.Quota;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.crash.CrashDetector;
import org.cowslippick.relay.endpoint.ProbeResult;
import org.cowslippick.relay.limit.QuotaTolerance;
import org.cowslippick.relay.limit.SharedQuotas;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.state.EndpointDirectory;
import org.cowslippick.relay.state.InstanceDirectory;
import org.cowslippick.relay.state.RoutingState;
import org.cowslippick.relay.state.StorePosition;
import org.junit.jupiter.api.Test;

/** A large fleet in two regions, in which the first instances of each region have the most processor time. */
class FleetMembershipTest {

    private static final int INSTANCES = 40;
    private static final int POWERFUL = 8;
    private static final OrganisationName ORGANISATION = new OrganisationName("portalia");
    private static final OrganisationAccess ACCESS =
            new OrganisationAccess(ORGANISATION, Optional.empty(), new Quota(Quota.Unit.TOKENS, 1_000, 100_000, 0));

    private static final LiveEndpoint ENGINE = new LiveEndpoint(
            "engine-1",
            new ServiceName("model"),
            HostAndPort.fromParts("10.0.1.1", 80),
            new FailureDomain("oviedo", new Region("asturias")),
            4,
            false,
            5);

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final ImmutableList<String> CONTENT = ImmutableList.of("harmful");

    private final ManualTimerService timer = new ManualTimerService();
    private final InMemoryNetwork network = new InMemoryNetwork();
    private final ImmutableList<Node> nodes =
            IntStream.range(0, INSTANCES).mapToObj(Node::new).collect(ImmutableList.toImmutableList());

    FleetMembershipTest() {
        ImmutableList<Instance> all =
                nodes.stream().map(node -> node.instances.self()).collect(ImmutableList.toImmutableList());
        nodes.forEach(node -> node.instances.replace(
                all.stream()
                        .filter(instance -> !instance.equals(node.instances.self()))
                        .collect(ImmutableList.toImmutableList()),
                1));
        nodes.forEach(Node::start);
    }

    @Test
    void twoPowerfulInstancesPerRegionReadTheStore() {
        timer.advance(Duration.ofSeconds(3));
        ImmutableList<Integer> readers = readers();
        assertEquals(4, readers.size());
        assertTrue(readers.stream().allMatch(number -> number < POWERFUL));
        assertEquals(2, readers.stream().filter(number -> number % 2 == 0).count());
    }

    @Test
    void allInstancesKnowAllMembersWithoutDirectReports() {
        timer.advance(Duration.ofSeconds(3));
        assertTrue(nodes.stream().allMatch(node -> node.fleet.members().size() == INSTANCES));
        long before = network.count(InstanceReport.class) + network.count(FleetReport.class);
        timer.advance(Duration.ofSeconds(1));
        long messages = network.count(InstanceReport.class) + network.count(FleetReport.class) - before;
        assertTrue(messages < 20L * INSTANCES, "messages in a second: " + messages);
    }

    @Test
    void anotherInstanceReplacesALostCollector() {
        timer.advance(Duration.ofSeconds(3));
        int lost = readers().get(0);
        nodes.get(lost).stop();
        timer.advance(Duration.ofSeconds(4));
        assertEquals(
                4,
                readers().stream().filter(number -> number != lost).count(),
                "readers other than the lost one: " + readers());
        nodes.stream()
                .filter(node -> node != nodes.get(lost))
                .forEach(node -> assertEquals(
                        INSTANCES - 1,
                        node.fleet.members().size(),
                        node.instances.self().name() + ", lost: " + lost));
    }

    @Test
    void collectorsThatCannotReadTheStoreAreReplaced() {
        timer.advance(Duration.ofSeconds(3));
        ImmutableList<Integer> before = readers();
        before.forEach(number -> nodes.get(number).endpoints.storeLost());
        timer.advance(Duration.ofSeconds(3));
        assertTrue(
                readers().stream().filter(number -> !before.contains(number)).count() >= 4,
                "readers: " + readers() + ", before: " + before);
    }

    @Test
    void membersKeepAnEndpointThatExpiredInAnOutageAndDropItAfterTheGracePeriod() {
        timer.advance(Duration.ofSeconds(3));
        ImmutableList<Integer> collectors = readers();
        collectors.forEach(number -> nodes.get(number).endpoints.replace(ImmutableList.of(ENGINE), 5));
        Node member = nodes.get(INSTANCES - 1);
        timer.advance(Duration.ofSeconds(2));
        assertEquals(ImmutableList.of(ENGINE), member.endpoints.active());
        nodes.forEach(node -> node.isStoreReachable = false);
        readers().forEach(number -> nodes.get(number).endpoints.storeLost());
        timer.advance(Duration.ofSeconds(3));
        nodes.forEach(node -> node.isStoreReachable = true);
        readers().forEach(number -> {
            nodes.get(number).endpoints.storeRecovered();
            nodes.get(number).endpoints.replace(ImmutableList.of(), 6);
        });
        timer.advance(Duration.ofMillis(1_500));
        assertEquals(6, member.endpoints.position().revision());
        assertEquals(ImmutableList.of(ENGINE), member.endpoints.active());
        timer.advance(Duration.ofMillis(1_500));
        assertEquals(ImmutableList.of(), member.endpoints.active());
    }

    @Test
    void memberThatHearsNoCollectorReadsTheStoreItself() {
        timer.advance(Duration.ofSeconds(3));
        nodes.stream().skip(POWERFUL).forEach(Node::stop);
        timer.advance(Duration.ofSeconds(4));
        assertEquals(
                ImmutableList.of(),
                IntStream.range(POWERFUL, INSTANCES)
                        .filter(number -> !nodes.get(number).readsStore)
                        .boxed()
                        .collect(ImmutableList.toImmutableList()));
    }

    @Test
    void outdatedDirectReportOfACollectorDoesNotHideItsNewVersions() {
        Node member = nodes.get(INSTANCES - 1);
        timer.advance(Duration.ofSeconds(3));
        readers().forEach(number -> network.join(
                        nodes.get(number).instances.self().name())
                .send(
                        member.instances.self().name(),
                        new InstanceReport(
                                true,
                                new StateVersions(-1, new StorePosition(0, 1), new StorePosition(0, 1)),
                                ImmutableList.of(),
                                ImmutableList.of())));
        timer.advance(Duration.ofSeconds(2));
        readers().forEach(number -> nodes.get(number).configure(7));
        timer.advance(Duration.ofSeconds(2));
        assertEquals(7, member.routing.current().version());
    }

    @Test
    void everyInstanceCountsQuotaUsageExactlyOnce() {
        timer.advance(Duration.ofSeconds(110));
        nodes.forEach(node -> assertTrue(node.quotas.tryAcquire(ACCESS, 1_000).isEmpty()));
        timer.advance(Duration.ofSeconds(3));
        long refill = 3_000;
        nodes.forEach(node -> {
            long remaining = node.drainQuota();
            long expected = 100_000 - INSTANCES * 1_000 + refill;
            assertTrue(
                    Math.abs(remaining - expected) <= 1_000,
                    node.instances.self().name() + " has " + remaining);
        });
    }

    @Test
    void crashesSeenByMembersOfBothRegionsQuarantineTheirContentOnAllInstances() {
        timer.advance(Duration.ofSeconds(3));
        crashSeenBy(INSTANCES - 1, INSTANCES - 2, INSTANCES - 3);
        timer.advance(Duration.ofSeconds(1));
        assertEquals(ImmutableList.of(), nodesWithoutQuarantine());
    }

    @Test
    void quarantineSurvivesTheInstancesThatSawTheCrashesAndReachesRestartedOnes() {
        timer.advance(Duration.ofSeconds(3));
        crashSeenBy(INSTANCES - 1, INSTANCES - 2, INSTANCES - 3);
        timer.advance(Duration.ofSeconds(1));
        IntStream.range(INSTANCES - 3, INSTANCES)
                .forEach(number -> nodes.get(number).stop());
        readers().forEach(number -> nodes.get(number).restartCrashDetection());
        timer.advance(Duration.ofSeconds(2));
        assertEquals(
                ImmutableList.of(),
                nodesWithoutQuarantine().stream()
                        .filter(number -> number < INSTANCES - 3)
                        .collect(ImmutableList.toImmutableList()));
    }

    @Test
    void instanceThatWasCutOffLearnsOfTheQuarantineAfterwards() {
        timer.advance(Duration.ofSeconds(3));
        Node cutOff = nodes.get(INSTANCES - 4);
        cutOff.stop();
        crashSeenBy(INSTANCES - 1, INSTANCES - 2, INSTANCES - 3);
        timer.advance(Duration.ofSeconds(4));
        assertTrue(cutOff.detector.quarantined(SERVICE, CONTENT).isEmpty());
        network.reconnect(cutOff.instances.self().name());
        timer.advance(Duration.ofSeconds(2));
        assertEquals(ImmutableList.of(), nodesWithoutQuarantine());
    }

    @Test
    void answerSeenByOneInstanceEndsTheQuarantineOnAll() {
        timer.advance(Duration.ofSeconds(3));
        crashSeenBy(INSTANCES - 1, INSTANCES - 2, INSTANCES - 3);
        timer.advance(Duration.ofSeconds(1));
        nodes.get(INSTANCES - 5).detector.answered(SERVICE, CONTENT);
        timer.advance(Duration.ofSeconds(1));
        assertEquals(INSTANCES, nodesWithoutQuarantine().size());
    }

    @Test
    void noMessagesAboutCrashesAreSentWithoutAny() {
        timer.advance(Duration.ofSeconds(10));
        assertEquals(0, network.count(CrashEvidence.class));
    }

    private void crashSeenBy(int... observers) {
        for (int number : observers) {
            LiveEndpoint crashed = new LiveEndpoint(
                    "engine-" + number, SERVICE, ENGINE.address(), ENGINE.failureDomain(), 4, false, 5);
            nodes.get(number).detector.requestBroken(crashed, CONTENT);
            timer.advance(Duration.ofSeconds(1));
        }
    }

    private ImmutableList<Integer> nodesWithoutQuarantine() {
        return IntStream.range(0, INSTANCES)
                .filter(number ->
                        nodes.get(number).detector.quarantined(SERVICE, CONTENT).isEmpty())
                .boxed()
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<Integer> readers() {
        return IntStream.range(0, INSTANCES)
                .filter(number -> nodes.get(number).readsStore)
                .boxed()
                .collect(ImmutableList.toImmutableList());
    }

    /** One instance; those with even numbers are in the first region. */
    private final class Node {
        private final InstanceDirectory instances;
        private final SharedQuotas quotas;
        private final EndpointDirectory endpoints;
        private final FleetMembership fleet;
        private final RoutingState routing = new RoutingState();
        private CrashDetector detector;
        private boolean readsStore = true;
        private boolean isStoreReachable = true;

        Node(int number) {
            FailureDomain domain = number % 2 == 0
                    ? new FailureDomain("oviedo", new Region("asturias"))
                    : new FailureDomain("laredo", new Region("cantabria"));
            HostAndPort address = HostAndPort.fromParts("10.0.0." + number, 1);
            InstanceName name = new InstanceName("front-" + number);
            instances = new InstanceDirectory(
                    new Instance(name, domain, address, address, number < POWERFUL ? 1.5 : 0.36), timer);
            instances.setSelfServing(true);
            quotas = new SharedQuotas(timer, new QuotaTolerance(Duration.ofSeconds(8), 0, 0));
            LocalSlotQueues localQueues = new LocalSlotQueues(timer);
            endpoints = new EndpointDirectory(timer, localQueues::replaceEndpoints);
            StateSynchroniser stateSynchroniser = new StateSynchroniser(
                    timer, instances, routing, endpoints, document -> configure(document.version()));
            fleet = new FleetMembership(
                    instances,
                    new Incarnation(number),
                    timer,
                    quotas,
                    localQueues,
                    stateSynchroniser,
                    this::setReadsStore);
        }

        void start() {
            endpoints.replace(ImmutableList.of(), 1);
            fleet.start(network.join(instances.self().name()), _pool -> true, () -> {});
            restartCrashDetection();
        }

        /** Replaces the crash detector by one that knows nothing, as after a restart of the process. */
        void restartCrashDetection() {
            detector = new CrashDetector(
                    instances.self().name(),
                    new Incarnation(1),
                    timer,
                    (_address, listener) -> listener.accept(ProbeResult.REFUSED));
            new CrashSynchroniser(
                    fleet, detector, timer, network.join(instances.self().name()));
        }

        void configure(long version) {
            routing.applyIfNewer(
                    new RoutingTable(
                            version,
                            ImmutableList.of(),
                            ImmutableList.of(),
                            CallerLimits.DEFAULT,
                            ImmutableMap.of(),
                            ImmutableMap.of()),
                    "",
                    "test");
        }

        void stop() {
            network.isolate(instances.self().name());
        }

        long drainQuota() {
            long taken = 0;
            while (quotas.tryAcquire(ACCESS, 500).isEmpty()) {
                taken += 500;
            }
            return taken;
        }

        private void setReadsStore(boolean isCollector) {
            readsStore = isCollector;
            if (!isCollector) {
                endpoints.storeLost();
            } else if (isStoreReachable) {
                endpoints.replace(ImmutableList.of(), 1);
            }
        }
    }
}
