package org.cowslippick.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.junit.jupiter.api.Test;

class EndpointDirectoryTest {

    private static final LiveEndpoint ENGINE = endpoint(false);

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

    private static LiveEndpoint endpoint(boolean leaving) {
        return new LiveEndpoint(
                "engine-1",
                new ServiceName("model"),
                HostAndPort.fromParts("10.0.0.1", 80),
                new FailureDomain("oviedo", new Region("asturias")),
                4,
                leaving,
                1);
    }
}
