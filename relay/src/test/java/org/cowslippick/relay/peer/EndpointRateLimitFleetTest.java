package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.scheduler.slot.EndpointRateLimit;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.junit.jupiter.api.Test;

/** Instances share the rate limit that one of three endpoints names, with the pool's owner present, absent or new. */
class EndpointRateLimitFleetTest {

    private static final int INSTANCES = 7;
    private static final double REQUESTS_PER_SECOND = 2;
    private static final double HIGH_REQUESTS_PER_SECOND = 10;
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** Longer than an instance waits for a decision. */
    private static final Duration LATE_DECISION = Duration.ofMillis(200);

    private static final Duration CLIENT_PERIOD = Duration.ofMillis(50);
    private static final Duration ANSWER_TIME = Duration.ofMillis(300);
    private static final LiveEndpoint LIMITED = SlotFleet.endpoint(0);

    private final List<Long> arrivals = new ArrayList<>();
    private final Set<Integer> excused = new HashSet<>();
    private final SlotFleet fleet = new SlotFleet(
            INSTANCES,
            ImmutableList.of(LIMITED, SlotFleet.endpoint(1), SlotFleet.endpoint(2)),
            CLIENT_PERIOD,
            this::granted);
    private final ManualTimerService timer = fleet.timer();
    private Optional<Double> named = Optional.of(REQUESTS_PER_SECOND);
    private int otherArrivals;

    EndpointRateLimitFleetTest() {
        timer.advance(Duration.ofSeconds(1));
        arrivals.clear();
    }

    @Test
    void limitHoldsOverAllInstancesAndIsUsed() {
        timer.advance(Duration.ofSeconds(20));
        assertLimitHolds();
        assertTrue(arrivals.size() >= 0.8 * 20 * REQUESTS_PER_SECOND, arrivals.size() + " requests");
        assertTrue(otherArrivals > 15 * 20, otherArrivals + " requests at the other endpoints");
    }

    @Test
    void limitHoldsWhileTheOwnerIsCutOff() {
        timer.advance(Duration.ofSeconds(6));
        int owner = fleet.owner();
        excused.add(owner);
        fleet.network().isolate(SlotFleet.name(owner));
        timer.advance(Duration.ofSeconds(5));
        fleet.network().reconnect(SlotFleet.name(owner));
        timer.advance(Duration.ofSeconds(6));
        assertLimitHolds();
    }

    @Test
    void limitHoldsWhileTheOwnerAnswersOnlyNowAndThen() {
        timer.advance(Duration.ofSeconds(6));
        int owner = fleet.owner();
        for (int time = 0; time < 20; time++) {
            fleet.network().isolate(SlotFleet.name(owner));
            timer.advance(Duration.ofMillis(200));
            fleet.network().reconnect(SlotFleet.name(owner));
            timer.advance(Duration.ofMillis(300));
        }
        assertLimitHolds();
    }

    /** The owner's decisions reach two instances too late, so that these ask another one. */
    @Test
    void limitHoldsWhileSomeInstancesBypassTheOwner() {
        named = Optional.of(HIGH_REQUESTS_PER_SECOND);
        timer.advance(Duration.ofSeconds(6));
        int owner = fleet.owner();
        IntStream.range(0, INSTANCES).filter(number -> number != owner).limit(2).forEach(number -> {
            fleet.network()
                    .delay(SlotFleet.name(owner), SlotFleet.name(number), SlotMessages.Granted.class, this::runLate);
            fleet.network()
                    .delay(SlotFleet.name(owner), SlotFleet.name(number), SlotMessages.Queued.class, this::runLate);
        });
        arrivals.clear();
        timer.advance(Duration.ofSeconds(10));
        assertLimitHolds(maximumInWindow(HIGH_REQUESTS_PER_SECOND));
    }

    @Test
    void limitHoldsAfterTheOwnerWasRestarted() {
        timer.advance(Duration.ofSeconds(6));
        fleet.restart(fleet.owner());
        timer.advance(Duration.ofSeconds(6));
        assertLimitHolds();
    }

    @Test
    void limitEndsOnAllInstancesWhenTheEndpointStopsNamingIt() {
        timer.advance(Duration.ofSeconds(6));
        named = Optional.empty();
        timer.advance(Duration.ofSeconds(2));
        arrivals.clear();
        timer.advance(Duration.ofSeconds(4));
        assertTrue(
                arrivals.size() > 2 * maximumInWindow(REQUESTS_PER_SECOND),
                arrivals.size() + " requests in four seconds");
    }

    @Test
    void limitBelowOneASecondHoldsToo() {
        named = Optional.of(0.25);
        timer.advance(Duration.ofSeconds(4));
        arrivals.clear();
        timer.advance(Duration.ofSeconds(20));
        assertTrue(arrivals.size() <= 6, arrivals.size() + " requests in twenty seconds");
        assertTrue(arrivals.size() >= 3, arrivals.size() + " requests in twenty seconds");
    }

    private void runLate(Runnable delivery) {
        timer.schedule(LATE_DECISION, delivery);
    }

    private void assertLimitHolds() {
        assertLimitHolds(maximumInWindow(REQUESTS_PER_SECOND));
    }

    /** One and a half times what the limit allows in the window, and five more. */
    private static int maximumInWindow(double requestsPerSecond) {
        return (int) (1.5 * requestsPerSecond * WINDOW.toSeconds() + 5);
    }

    private void assertLimitHolds(int maximum) {
        long contact = Duration.ofSeconds(4).toNanos() + Duration.ofSeconds(1).toNanos();
        for (long start : arrivals) {
            long count = arrivals.stream()
                    .filter(at -> at >= start && at < start + WINDOW.toNanos())
                    .count();
            assertTrue(start < contact || count <= maximum, count + " requests in 4 s from " + start);
        }
    }

    private void granted(SlotFleet.Node node, SlotDecision.Granted grant) {
        boolean isLimited = grant.endpoint().equals(LIMITED);
        if (isLimited && !excused.contains(node.number())) {
            arrivals.add(timer.nanoTime());
        }
        otherArrivals += isLimited ? 0 : 1;
        timer.schedule(ANSWER_TIME, () -> answered(node, grant, isLimited ? named : Optional.empty()));
    }

    private static void answered(SlotFleet.Node node, SlotDecision.Granted grant, Optional<Double> limit) {
        boolean wasLimited =
                grant.rateLimit().filter(EndpointRateLimit::isLimited).isPresent();
        if (!node.isStopped() && (limit.isPresent() || wasLimited)) {
            node.broker().reportRateLimit(grant.endpoint(), limit);
        }
        node.answered(grant);
    }
}
