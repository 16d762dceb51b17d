package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.engine.PoolSpeeds;
import org.cowslippick.scheduler.prefix.KeptPartsBounds;
import org.cowslippick.scheduler.slot.ConnectionReplay.Kind;
import org.cowslippick.scheduler.slot.ConnectionReplay.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Placement at endpoints to which the requesting instance is connected. Opening connections loads the engines. */
class ConnectionPreferenceTest {

    private static final ImmutableList<Kind> VALUATION = ImmutableList.of(
            new Kind(34.5, 6_670, 384, 1_219), new Kind(102, 688, 288, 1_208), new Kind(53, 1_860, 24, 2_010));
    private static final ImmutableList<Kind> SETTLEMENT =
            ImmutableList.of(new Kind(84, 6_670, 385, 808), new Kind(49, 688, 286, 503), new Kind(155, 1_860, 22, 504));
    private static final ImmutableList<Kind> CALLS = ImmutableList.of(new Kind(78, 0, 0, 229));
    private static final double ONE_IN_THREE = 1.0 / 3;
    private static final double SECONDS = 40;

    /** Without the preference, 0.66 of the requests open a connection if idle ones are kept for 800 ms. */
    @ParameterizedTest
    @ValueSource(doubles = {800, 4_800})
    void instancesMeetTheSameEnginesAgainWithoutLossOfTime(double idleMs) {
        Result without = new ConnectionReplay(1, 38, 32, 7, 48.2, 2.6, idleMs, false).run(VALUATION, SECONDS);
        Result with = new ConnectionReplay(1, 38, 32, 7, 48.2, 2.6, idleMs, true).run(VALUATION, SECONDS);
        assertTrue(
                with.openedShare() < ONE_IN_THREE && with.openedShare() < without.openedShare() / 2, with.toString());
        assertTrue(with.meanFirstMs() <= without.meanFirstMs() && with.late() <= without.late(), with + " " + without);
    }

    @ParameterizedTest
    @ValueSource(doubles = {800, 4_800})
    void fewerInstancesBeforeMoreEnginesToo(double idleMs) {
        Result result = new ConnectionReplay(1, 14, 39, 6, 101, 2.97, idleMs, true).run(SETTLEMENT, SECONDS);
        assertTrue(result.openedShare() < ONE_IN_THREE && result.late() == 0, result.toString());
    }

    @ParameterizedTest
    @ValueSource(doubles = {800, 2_000})
    void applicationCallsToo(double idleMs) {
        Result result = new ConnectionReplay(1, 38, 3, 6, 48.2, 2.6, idleMs, true).run(CALLS, SECONDS);
        assertTrue(result.openedShare() < ONE_IN_THREE && result.late() == 0, result.toString());
    }

    @Test
    void aConnectionDecidesBetweenEqualEndpoints() {
        assertEquals("engine-1", place("engine-1", 0, Duration.ofMillis(400)));
        assertEquals("engine-0", place("engine-0", 0, Duration.ofMillis(400)));
    }

    /** A request on a kept connection must not wait for others that could run elsewhere at once. */
    @Test
    void aBusyEndpointIsNotPreferredForItsConnection() {
        assertEquals("engine-0", place("engine-1", 1, Duration.ofMillis(400)));
    }

    /** A request without time to spare goes to the fastest endpoint. */
    @Test
    void theAdvantageIsNoLongerThanTheSlack() {
        EndpointLoad load = new EndpointLoad(endpoint(0), new PoolSpeeds(), new KeptPartsBounds(), 0);
        SlotRequest request = request(1, "engine-0", Duration.ofMillis(81));
        assertEquals(Duration.ofMillis(1).toNanos(), ConnectionPreference.advantageNanos(load, request, 0));
        assertEquals(
                0,
                ConnectionPreference.advantageNanos(
                        load, request, Duration.ofMillis(50).toNanos()));
    }

    /** Places a request after some others have been placed at the connected engine. */
    private static String place(String connected, int busy, Duration target) {
        SlotQueue queue = new SlotQueue();
        queue.replaceEndpoints(ImmutableList.of(endpoint(0), endpoint(1)), 0);
        IntStream.range(0, busy).forEach(number -> queue.adopt(request(number + 2, connected, target), connected, 0));
        return ((SlotDecision.Granted)
                        queue.offer(request(1, connected, target), 0).get(0))
                .endpoint()
                .id();
    }

    private static LiveEndpoint endpoint(int number) {
        return new LiveEndpoint(
                "engine-" + number,
                new ServiceName("model"),
                HostAndPort.fromParts("127.0.0.1", 1 + number),
                new FailureDomain("oviedo", new Region("asturias")),
                4,
                false,
                1);
    }

    private static SlotRequest request(int number, String connected, Duration target) {
        long end = Duration.ofSeconds(4).toNanos();
        return new SlotRequest(
                new SlotKey(new InstanceName("front-1"), number),
                1,
                1,
                number,
                0,
                0,
                false,
                0,
                0,
                0,
                target.toNanos(),
                end,
                end,
                end,
                ImmutableSet.of(),
                Optional.empty(),
                ImmutableSet.of(connected));
    }
}
