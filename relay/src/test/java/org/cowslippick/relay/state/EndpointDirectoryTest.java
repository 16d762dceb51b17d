package org.cowslippick.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

    private static final LiveEndpoint ENGINE = endpoint(false);
    private static final LiveEndpoint OTHER_RUN = endpoint("engine-2", false, 0);

    private final ManualTimerService timer = new ManualTimerService();
    private final AtomicReference<ImmutableList<LiveEndpoint>> active = new AtomicReference<>(ImmutableList.of());
    private final EndpointDirectory directory = new EndpointDirectory(timer, active::set);

    @Test
    void removesAnUnregisteredEndpointImmediately() {
        directory.replace(ImmutableList.of(ENGINE), 1);
        directory.replace(ImmutableList.of(), 2);
        assertEquals(ImmutableList.of(), active.get());
    }

    @Test
    void keepsAnEndpointThatExpiredDuringAStoreOutageForTheGracePeriod() {
        directory.replace(ImmutableList.of(ENGINE), 3);
        directory.storeRecovered();
        directory.replace(ImmutableList.of(), 4);
        assertEquals(ImmutableList.of(ENGINE), active.get());
        timer.advance(Duration.ofMillis(2_300));
        assertEquals(ImmutableList.of(), active.get());
    }

    @Test
    void laterOutagesDoNotProlongTheTimeForWhichAnEndpointIsKept() {
        directory.replace(ImmutableList.of(ENGINE), 3);
        directory.storeRecovered();
        directory.replace(ImmutableList.of(), 4);
        timer.advance(Duration.ofMillis(1_500));
        directory.storeLost();
        directory.storeRecovered();
        assertEquals(ImmutableList.of(ENGINE), active.get());
        timer.advance(Duration.ofMillis(800));
        assertEquals(ImmutableList.of(), active.get());
    }

    @Test
    void doesNotPassOnAnEndpointThatIsOnlyKept() {
        directory.replace(ImmutableList.of(ENGINE), 3);
        directory.storeRecovered();
        directory.replace(ImmutableList.of(), 4);
        assertEquals(ImmutableList.of(ENGINE), directory.active());
        assertEquals(ImmutableList.of(), directory.registered());
    }

    @Test
    void doesNotKeepALeavingEndpoint() {
        directory.replace(ImmutableList.of(endpoint(true)), 5);
        directory.storeRecovered();
        directory.replace(ImmutableList.of(), 6);
        assertEquals(ImmutableList.of(), active.get());
    }

    @Test
    void keepsAnEndpointThatTheCopyLacksForTheGracePeriod() {
        directory.replace(ImmutableList.of(ENGINE), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(), new StorePosition(2, 40));
        assertEquals(ImmutableList.of(ENGINE), active.get());
        timer.advance(Duration.ofMillis(1_500));
        directory.replace(ImmutableList.of(ENGINE), new StorePosition(2, 41));
        timer.advance(Duration.ofMillis(800));
        assertEquals(ImmutableList.of(ENGINE), active.get());
        directory.replace(ImmutableList.of(), new StorePosition(2, 42));
        assertEquals(ImmutableList.of(), active.get());
    }

    /** A second restart within the period would keep an endpoint that has crashed for twice as long. */
    @Test
    void dropsAnEndpointThatIsNotWrittenAgainAfterOneGracePeriodInSpiteOfASecondRestart() {
        directory.replace(ImmutableList.of(ENGINE), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(), new StorePosition(2, 40));
        timer.advance(Duration.ofMillis(1_500));
        directory.replace(ImmutableList.of(), new StorePosition(3, 30));
        assertEquals(ImmutableList.of(ENGINE), active.get());
        timer.advance(Duration.ofMillis(800));
        assertEquals(ImmutableList.of(), active.get());
    }

    @Test
    void ignoresALateListOfAnOlderEra() {
        directory.replace(ImmutableList.of(ENGINE), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(ENGINE), new StorePosition(2, 40));
        directory.replace(ImmutableList.of(), new StorePosition(1, 60));
        directory.applyFromPeer(ImmutableList.of(), new StorePosition(1, 70), new InstanceName("peer"));
        assertEquals(ImmutableList.of(ENGINE), active.get());
        assertEquals(new StorePosition(2, 40), directory.position());
    }

    /** The copy is older than the moment at which the endpoint began to leave; it must get no new request. */
    @Test
    void leavingRunStaysLeavingAlthoughTheCopySaysReady() {
        directory.replace(ImmutableList.of(endpoint(true)), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(ENGINE), new StorePosition(2, 40));
        assertEquals(ImmutableList.of(endpoint(true)), active.get());
        directory.replace(ImmutableList.of(ENGINE, OTHER_RUN), new StorePosition(3, 30));
        assertEquals(ImmutableList.of(endpoint(true), OTHER_RUN), active.get());
    }

    @Test
    void leavingRunThatWasRemovedBeforeTheRestartComesBackAsLeaving() {
        directory.replace(ImmutableList.of(endpoint(true)), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(), new StorePosition(1, 51));
        directory.replace(ImmutableList.of(ENGINE), new StorePosition(2, 40));
        assertEquals(ImmutableList.of(endpoint(true)), active.get());
    }

    @Test
    void laterRunOfALeavingEndpointIsReady() {
        directory.replace(ImmutableList.of(endpoint(true)), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(ENGINE), new StorePosition(2, 40));
        LiveEndpoint laterRun = endpoint("engine-1", false, 9);
        directory.replace(ImmutableList.of(laterRun), new StorePosition(2, 41));
        assertEquals(ImmutableList.of(laterRun), active.get());
    }

    /** The address of an endpoint that has been replaced since the copy is dead, or belongs to the later run. */
    @Test
    void earlierRunInTheCopyDoesNotReplaceTheKnownOne() {
        LiveEndpoint earlierRun = endpoint("engine-1", false, 5);
        LiveEndpoint laterRun = endpoint("engine-1", false, 9);
        directory.replace(ImmutableList.of(earlierRun), new StorePosition(1, 40));
        directory.replace(ImmutableList.of(laterRun), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(earlierRun), new StorePosition(2, 41));
        directory.replace(ImmutableList.of(earlierRun, OTHER_RUN), new StorePosition(2, 42));
        assertEquals(ImmutableList.of(OTHER_RUN, laterRun), active.get());
        directory.replace(ImmutableList.of(laterRun, OTHER_RUN), new StorePosition(2, 43));
        timer.advance(Duration.ofSeconds(3));
        assertEquals(ImmutableList.of(laterRun, OTHER_RUN), active.get());
    }

    /** Without a restart of the store, the endpoint itself has written that it is ready again. */
    @Test
    void leavingRunMayBecomeReadyWithinAnEra() {
        directory.replace(ImmutableList.of(endpoint(true)), 50);
        directory.replace(ImmutableList.of(ENGINE), 51);
        assertEquals(ImmutableList.of(ENGINE), active.get());
    }

    private static LiveEndpoint endpoint(boolean leaving) {
        return endpoint("engine-1", leaving, 0);
    }

    private static LiveEndpoint endpoint(String id, boolean leaving, long startedAtMilliseconds) {
        return new LiveEndpoint(
                id,
                new ServiceName("model"),
                HostAndPort.fromParts("10.0.0.1", 80),
                new FailureDomain("oviedo", new Region("asturias")),
                4,
                leaving,
                1,
                startedAtMilliseconds);
    }
}
