package org.cowslippick.scheduler.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.junit.jupiter.api.Test;

class ServiceVersionsTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final long WINDOW = 30;

    private final ServiceVersions versions = new ServiceVersions(() -> WINDOW);

    @Test
    void aVersionIsPossibleUntilTheWindowAfterItsLastPresence() {
        versions.setRegistryKnown();
        update(0, "v1");
        update(100, "v2");
        assertEquals(Set.of("v1", "v2"), versions.possible(SERVICE, 130));
        assertTrue(versions.isMixed(SERVICE, 130));
        assertEquals(Optional.empty(), versions.only(SERVICE, 130));
        assertEquals(Optional.of("v2"), versions.only(SERVICE, 131));
        assertEquals(Optional.of("v2"), versions.only(SERVICE, 10_000));
    }

    @Test
    void noVersionIsTheOnlyOneWhileTheRegistryIsUnknown() {
        update(0, "");
        assertEquals(Optional.empty(), versions.only(SERVICE, 0));
        assertFalse(versions.isMixed(SERVICE, 0));
        versions.setRegistryKnown();
        assertEquals(Optional.of(""), versions.only(SERVICE, 0));
        assertEquals(Optional.empty(), versions.only(new ServiceName("other"), 0));
    }

    @Test
    void aRegisteredVersionCountsAsPresentWhenItIsRead() {
        versions.addRegistered(SERVICE, ImmutableSet.of("v1"), 0);
        versions.setRegistryKnown();
        update(1, "v2");
        assertTrue(versions.isMixed(SERVICE, WINDOW));
        assertEquals(Optional.of("v2"), versions.only(SERVICE, WINDOW + 1));
    }

    @Test
    void aVersionThatReappearsIsPresentAgain() {
        update(0, "v1");
        update(10, "v2");
        update(20, "v1", "v2");
        update(50, "v2");
        assertEquals(Set.of("v1", "v2"), versions.possible(SERVICE, 80));
        assertEquals(Set.of("v2"), versions.possible(SERVICE, 81));
    }

    private void update(long nowNanos, String... softwareVersions) {
        versions.update(
                Stream.of(softwareVersions).map(ServiceVersionsTest::endpoint).collect(ImmutableList.toImmutableList()),
                nowNanos);
    }

    private static LiveEndpoint endpoint(String softwareVersion) {
        return new LiveEndpoint(
                "engine-" + softwareVersion,
                SERVICE,
                HostAndPort.fromParts("127.0.0.1", 80),
                new FailureDomain("oviedo", new Region("asturias")),
                1,
                true,
                1,
                0,
                softwareVersion);
    }
}
