package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import org.cowslippick.core.routing.CallerLimits;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.routing.RoutingTable;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.MessageTypes;
import org.cowslippick.relay.limit.QuotaTolerance;
import org.cowslippick.relay.limit.SharedQuotas;
import org.cowslippick.relay.peer.StateSyncMessages.StateRequest;
import org.cowslippick.relay.peer.StateSyncMessages.StateSnapshot;
import org.cowslippick.relay.slot.LocalSlotQueues;
import org.cowslippick.relay.state.ConfigurationDocument;
import org.cowslippick.relay.state.EndpointDirectory;
import org.cowslippick.relay.state.InstanceDirectory;
import org.cowslippick.relay.state.RoutingState;
import org.cowslippick.relay.state.StorePosition;
import org.junit.jupiter.api.Test;

class StateSynchroniserTest {

    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", new Region("asturias"));
    private static final LiveEndpoint ENGINE = engine(1, false);
    private static final LiveEndpoint OTHER_ENGINE = engine(2, false);
    private static final LiveEndpoint OTHER_ENGINE_LEAVING = engine(2, true);

    private static final Instance NEW_INSTANCE = new Instance(
            new InstanceName("new"),
            DOMAIN,
            HostAndPort.fromParts("10.0.0.3", 1),
            HostAndPort.fromParts("10.0.0.3", 1));

    private final ManualTimerService timer = new ManualTimerService();
    private final InMemoryNetwork network = new InMemoryNetwork();
    private final Node informed = new Node("informed", 1);
    private final Node fresh = new Node("fresh", 2);

    @Test
    void instanceThatStartsDuringAStoreOutageReceivesTheStateFromAPeer() {
        informed.instances.replace(ImmutableList.of(fresh.instances.self()), 1);
        informed.routing.applyIfNewer(table(3), "configuration 3", "store");
        informed.endpoints.replace(ImmutableList.of(ENGINE), 40);
        network.connect(informed.instances.self().name(), fresh.instances.self().name());
        timer.advance(Duration.ofMillis(800));
        assertEquals(3, fresh.routing.current().version());
        assertEquals("configuration 3", fresh.routing.document().orElseThrow().text());
        assertEquals(ImmutableList.of(ENGINE), fresh.endpoints.active());
        assertEquals(ImmutableList.of(informed.instances.self()), fresh.instances.others());
    }

    @Test
    void instanceThatReadsTheStoreInTimeRequestsNothing() {
        initialise(informed, fresh, 3);
        timer.advance(Duration.ofMillis(500));
        informed.routing.applyIfNewer(table(4), "configuration 4", "store");
        timer.advance(Duration.ofMillis(200));
        fresh.routing.applyIfNewer(table(4), "configuration 4", "store");
        timer.advance(Duration.ofSeconds(2));
        assertEquals(0, network.count(StateRequest.class));
    }

    @Test
    void instanceThatMissesAChangeOfTheStoreRequestsIt() {
        initialise(informed, fresh, 3);
        timer.advance(Duration.ofMillis(500));
        informed.routing.applyIfNewer(table(4), "configuration 4", "store");
        timer.advance(Duration.ofSeconds(1));
        assertEquals(4, fresh.routing.current().version());
        assertEquals(1, network.count(StateSnapshot.class));
    }

    @Test
    void readerWhoseLongPollIsLostTakesALeavingEndpointFromAPeer() {
        initialise(informed, fresh, 3);
        informed.endpoints.replace(ImmutableList.of(ENGINE, OTHER_ENGINE), 40);
        fresh.endpoints.replace(ImmutableList.of(ENGINE, OTHER_ENGINE), 40);
        timer.advance(Duration.ofSeconds(1));
        informed.endpoints.replace(ImmutableList.of(ENGINE, OTHER_ENGINE_LEAVING), 60);
        timer.advance(Duration.ofSeconds(1));
        assertEquals(ImmutableList.of(ENGINE, OTHER_ENGINE_LEAVING), fresh.endpoints.active());
    }

    @Test
    void readerWhoseLongPollIsLostTakesInstancesFromAPeer() {
        initialise(informed, fresh, 3);
        informed.instances.replace(ImmutableList.of(fresh.instances.self(), NEW_INSTANCE), 60);
        timer.advance(Duration.ofSeconds(1));
        assertEquals(ImmutableList.of(informed.instances.self(), NEW_INSTANCE), sortedOthers(fresh));
    }

    @Test
    void olderStateOfAPeerNeverReplacesNewerState() {
        initialise(informed, fresh, 3);
        fresh.endpoints.replace(ImmutableList.of(OTHER_ENGINE), 60);
        informed.endpoints.replace(ImmutableList.of(ENGINE), 50);
        fresh.endpoints.applyFromPeer(
                ImmutableList.of(ENGINE),
                new StorePosition(0, 50),
                informed.instances.self().name());
        assertEquals(ImmutableList.of(OTHER_ENGINE), fresh.endpoints.active());
        timer.advance(Duration.ofSeconds(1));
        assertEquals(ImmutableList.of(OTHER_ENGINE), fresh.endpoints.active());
        assertEquals(ImmutableList.of(OTHER_ENGINE), informed.endpoints.active());
        fresh.endpoints.storeLost();
        timer.advance(Duration.ofSeconds(1));
        assertEquals(ImmutableList.of(OTHER_ENGINE), fresh.endpoints.active());
    }

    @Test
    void equalStateReadAtDifferentRevisionsIsRequestedOnce() {
        initialise(informed, fresh, 3);
        informed.endpoints.replace(ImmutableList.of(ENGINE), 63);
        fresh.endpoints.replace(ImmutableList.of(ENGINE), 60);
        timer.advance(Duration.ofSeconds(5));
        assertEquals(63, fresh.endpoints.position().revision());
        assertEquals(1, network.count(StateRequest.class));
    }

    /** Compared by revision alone, the instance took its lost state for newer until the store had caught up. */
    @Test
    void instanceThatCannotReadTheStoreLearnsOfANewEraFromAPeer() {
        initialise(informed, fresh, 3);
        informed.endpoints.replace(ImmutableList.of(ENGINE), new StorePosition(1, 60));
        fresh.endpoints.replace(ImmutableList.of(ENGINE), new StorePosition(1, 60));
        fresh.endpoints.storeLost();
        informed.endpoints.replace(ImmutableList.of(OTHER_ENGINE), new StorePosition(2, 40));
        timer.advance(Duration.ofSeconds(1));
        assertEquals(new StorePosition(2, 40), fresh.endpoints.position());
        assertEquals(ImmutableList.of(OTHER_ENGINE, ENGINE), fresh.endpoints.active());
        timer.advance(Duration.ofSeconds(3));
        assertEquals(ImmutableList.of(OTHER_ENGINE), fresh.endpoints.active());
        assertEquals(ImmutableList.of(OTHER_ENGINE), informed.endpoints.active());
    }

    @Test
    void instanceThatStartsRightAfterARestartTakesTheNewerConfigurationFromAPeer() {
        initialise(informed, fresh, 11);
        informed.routing.applyIfNewer(table(12), "configuration 12", "store");
        informed.endpoints.replace(ImmutableList.of(ENGINE), new StorePosition(2, 40));
        fresh.endpoints.replace(ImmutableList.of(ENGINE), new StorePosition(2, 40));
        timer.advance(Duration.ofSeconds(1));
        assertEquals("configuration 12", fresh.routing.document().orElseThrow().text());
    }

    @Test
    void removalOfTheLastEndpointReachesAnInstanceThatCannotReadTheStore() {
        initialise(informed, fresh, 3);
        informed.endpoints.replace(ImmutableList.of(ENGINE), 40);
        fresh.endpoints.storeLost();
        timer.advance(Duration.ofSeconds(1));
        assertEquals(ImmutableList.of(ENGINE), fresh.endpoints.active());
        informed.endpoints.replace(ImmutableList.of(), 60);
        timer.advance(Duration.ofSeconds(1));
        assertEquals(ImmutableList.of(), fresh.endpoints.active());
        assertEquals(60, fresh.endpoints.position().revision());
    }

    /** Incident DRAIN: a member never learned that the grace period of the collector had ended. */
    @Test
    void endpointThatACollectorKeptForItsGracePeriodIsDroppedByMembersInTime() {
        initialise(informed, fresh, 3);
        informed.endpoints.replace(ImmutableList.of(ENGINE, OTHER_ENGINE), 40);
        fresh.endpoints.storeLost();
        timer.advance(Duration.ofSeconds(1));
        assertEquals(ImmutableList.of(ENGINE, OTHER_ENGINE), fresh.endpoints.active());
        informed.endpoints.storeLost();
        informed.endpoints.storeRecovered();
        informed.endpoints.replace(ImmutableList.of(OTHER_ENGINE_LEAVING), 60);
        timer.advance(Duration.ofSeconds(3));
        assertEquals(ImmutableList.of(OTHER_ENGINE_LEAVING), informed.endpoints.active());
        assertEquals(ImmutableList.of(OTHER_ENGINE_LEAVING), fresh.endpoints.active());
    }

    @Test
    void snapshotIsUnchangedByEncodingAndDecoding() {
        FrameCodec codec = new FrameCodec(new MessageTypes(FleetSlotBroker.MESSAGE_TYPES));
        StateSnapshot snapshot = new StateSnapshot(
                new StateVersions(12, new StorePosition(3, 99), new StorePosition(2, 100)),
                Optional.of(new ConfigurationDocument(12, "{\"version\":12}")),
                ImmutableList.of(ENGINE),
                ImmutableList.of(informed.instances.self()));
        assertEquals(
                snapshot,
                codec.decode(codec.encode(new Envelope(1, snapshot)))
                        .orElseThrow()
                        .message());
    }

    private static void initialise(Node one, Node other, long version) {
        one.instances.replace(ImmutableList.of(other.instances.self()), 1);
        other.instances.replace(ImmutableList.of(one.instances.self()), 1);
        one.endpoints.replace(ImmutableList.of(), 1);
        other.endpoints.replace(ImmutableList.of(), 1);
        one.routing.applyIfNewer(table(version), "configuration", "store");
        other.routing.applyIfNewer(table(version), "configuration", "store");
    }

    private static ImmutableList<Instance> sortedOthers(Node node) {
        return node.instances.others().stream()
                .sorted(Comparator.comparing(instance -> instance.name().value()))
                .collect(ImmutableList.toImmutableList());
    }

    private static LiveEndpoint engine(int number, boolean leaving) {
        return new LiveEndpoint(
                "engine-" + number,
                new ServiceName("model"),
                HostAndPort.fromParts("10.0.1." + number, 80),
                DOMAIN,
                4,
                leaving,
                7);
    }

    private static RoutingTable table(long version) {
        return new RoutingTable(
                version,
                ImmutableList.of(),
                ImmutableList.of(),
                CallerLimits.DEFAULT,
                ImmutableMap.of(),
                ImmutableMap.of());
    }

    /** The state of one instance, with the components that synchronise it. */
    private final class Node {
        private final InstanceDirectory instances;
        private final RoutingState routing = new RoutingState();
        private final EndpointDirectory endpoints;

        Node(String name, int number) {
            HostAndPort address = HostAndPort.fromParts("10.0.0." + number, 1);
            instances = new InstanceDirectory(new Instance(new InstanceName(name), DOMAIN, address, address), timer);
            LocalSlotQueues localQueues = new LocalSlotQueues(timer);
            endpoints = new EndpointDirectory(timer, localQueues::replaceEndpoints);
            StateSynchroniser stateSynchroniser = new StateSynchroniser(
                    timer,
                    instances,
                    routing,
                    endpoints,
                    document -> routing.applyIfNewer(table(document.version()), document.text(), "another instance"));
            SharedQuotas quotas = new SharedQuotas(timer, new QuotaTolerance(Duration.ofSeconds(8), 0, 0));
            new FleetMembership(
                            instances,
                            new Incarnation(1),
                            timer,
                            quotas,
                            localQueues,
                            stateSynchroniser,
                            _isCollector -> {})
                    .start(network.join(new InstanceName(name)), _pool -> true, () -> {});
        }
    }
}
