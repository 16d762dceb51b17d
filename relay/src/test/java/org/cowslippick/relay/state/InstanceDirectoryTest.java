package org.cowslippick.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.junit.jupiter.api.Test;

class InstanceDirectoryTest {

    private static final Instance SELF = instance(1);
    private static final Instance OLD = instance(2);
    private static final Instance LATE = instance(3);

    private final ManualTimerService timer = new ManualTimerService();
    private final InstanceDirectory directory = new InstanceDirectory(SELF, timer);

    /** Callers would be sent elsewhere, and pools would change their owners, for a moment at each restart. */
    @Test
    void keepsAnInstanceThatTheCopyLacksUntilItHasRegisteredAgain() {
        directory.replace(ImmutableList.of(OLD, LATE), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(OLD), new StorePosition(2, 40));
        assertEquals(ImmutableList.of(OLD, LATE), directory.others());
        assertEquals(ImmutableList.of(SELF, OLD), directory.allRegistered());
        directory.replace(ImmutableList.of(OLD, LATE), new StorePosition(2, 41));
        directory.replace(ImmutableList.of(OLD), new StorePosition(2, 42));
        assertEquals(ImmutableList.of(OLD), directory.others());
    }

    @Test
    void dropsAnInstanceThatDoesNotRegisterAgain() {
        directory.replace(ImmutableList.of(OLD, LATE), new StorePosition(1, 50));
        directory.replace(ImmutableList.of(OLD), new StorePosition(2, 40));
        timer.advance(Duration.ofSeconds(4));
        directory.replace(ImmutableList.of(OLD), new StorePosition(3, 30));
        timer.advance(Duration.ofSeconds(2));
        assertEquals(ImmutableList.of(OLD, LATE), directory.others());
        timer.advance(Duration.ofSeconds(3));
        assertEquals(ImmutableList.of(OLD), directory.others());
    }

    /** A peer that has not heard of the restart yet would bring back what the store no longer holds. */
    @Test
    void ignoresAnOlderEraAndAppliesANewerOneWithALowerRevision() {
        directory.replace(ImmutableList.of(OLD), new StorePosition(2, 40));
        directory.replace(ImmutableList.of(), new StorePosition(1, 60));
        directory.applyFromPeer(ImmutableList.of(LATE), new StorePosition(1, 70));
        assertEquals(ImmutableList.of(OLD), directory.others());
        directory.applyFromPeer(ImmutableList.of(SELF, LATE, OLD), new StorePosition(3, 10));
        assertEquals(ImmutableList.of(LATE, OLD), directory.others());
    }

    @Test
    void removesAnInstanceAtOnceWithoutANewEra() {
        directory.replace(ImmutableList.of(OLD, LATE), 50);
        directory.replace(ImmutableList.of(OLD), 51);
        assertEquals(ImmutableList.of(OLD), directory.others());
    }

    private static Instance instance(int number) {
        HostAndPort address = HostAndPort.fromParts("10.0.0." + number, 80);
        return new Instance(
                new InstanceName("front-" + number),
                new FailureDomain("oviedo", new Region("asturias")),
                address,
                address);
    }
}
