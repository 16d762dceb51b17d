package org.cowslippick.relay.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.relay.endpoint.ProbeResult;
import org.junit.jupiter.api.Test;

class CrashDetectorTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final ImmutableList<String> HARMFUL = ImmutableList.of("first", "harmful");

    private final ManualTimerService timer = new ManualTimerService();
    private final List<Consumer<ProbeResult>> probes = new ArrayList<>();
    private final CrashDetector detector = new CrashDetector(
            new InstanceName("front-1"), new Incarnation(1), timer, (_address, listener) -> probes.add(listener));

    @Test
    void brokenConnectionToAnEndpointThatAcceptsANewOneIsNoCrash() {
        breakOff(5, ProbeResult.ACCEPTED);
        assertTrue(detector.records().isEmpty());
    }

    @Test
    void brokenConnectionToAnEndpointThatBecameSilentIsNoCrash() {
        breakOff(5, ProbeResult.SILENT);
        assertTrue(detector.records().isEmpty());
    }

    @Test
    void contentOfRequestsToEndpointsThatEndedIsQuarantined() {
        breakOff(3, ProbeResult.REFUSED);
        assertEquals(
                "harmful", detector.quarantined(SERVICE, HARMFUL).orElseThrow().content());
    }

    @Test
    void quarantineEndsWhenARequestThatWasUnderWayIsAnswered() {
        breakOff(3, ProbeResult.REFUSED);
        detector.answered(SERVICE, HARMFUL);
        assertTrue(detector.quarantined(SERVICE, HARMFUL).isEmpty());
    }

    @Test
    void endpointIsProbedOnceForAllRequestsThatBrokeOffTogether() {
        detector.requestBroken(endpoint(1), HARMFUL);
        detector.requestBroken(endpoint(1), ImmutableList.of("first", "other"));
        assertEquals(1, probes.size());
        probes.get(0).accept(ProbeResult.REFUSED);
        assertEquals(2, detector.records().size());
    }

    private void breakOff(int endpoints, ProbeResult result) {
        for (int number = 0; number < endpoints; number++) {
            timer.advance(Duration.ofSeconds(1));
            detector.requestBroken(endpoint(number), HARMFUL);
            probes.get(number).accept(result);
        }
    }

    private static LiveEndpoint endpoint(int number) {
        return new LiveEndpoint(
                "engine-" + number,
                SERVICE,
                HostAndPort.fromParts("10.0.0." + number, 80),
                new FailureDomain("oviedo", new Region("asturias")),
                4,
                false,
                1);
    }
}
