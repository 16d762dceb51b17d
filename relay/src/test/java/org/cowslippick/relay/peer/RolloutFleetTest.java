package org.cowslippick.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.rollout.RolloutBounds;
import org.cowslippick.scheduler.rollout.RolloutOrder;
import org.cowslippick.scheduler.rollout.RolloutStage;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Instances that carry out one roll-out together, over two pools, with the decider present, lost or replaced. */
class RolloutFleetTest {

    private static final ServiceName SERVICE = new ServiceName("model");
    private static final String OLD = "1";
    private static final String TARGET = "2";
    private static final int INSTANCES = 5;
    private static final int ENDPOINTS = 24;
    private static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50);
    private static final Duration DURATION = Duration.ofSeconds(40);
    private static final Duration ANSWER_TIME = Duration.ofMillis(300);

    private final SlotFleet fleet = new SlotFleet(
            INSTANCES,
            IntStream.range(0, ENDPOINTS).mapToObj(RolloutFleetTest::endpoint).collect(ImmutableList.toImmutableList()),
            Duration.ofMillis(40),
            this::granted);
    private final ManualTimerService timer = fleet.timer();
    private final List<RolloutDeciders> deciders = new ArrayList<>();
    private final List<RolloutStatus> statuses = new ArrayList<>();
    private final List<Integer> writers = new ArrayList<>();
    private Optional<RolloutStatus> stored = Optional.empty();
    private boolean isStoreUnavailable;
    private final Set<Integer> lost = new HashSet<>();
    private boolean hasOrder = true;
    private boolean isTargetBad;
    private String target = TARGET;
    private int requests;
    private int exposure;
    private int lateExposure;
    private int oldRunning;
    private int oldRunningAtCompletion;

    RolloutFleetTest() {
        IntStream.range(0, INSTANCES)
                .forEach(number ->
                        deciders.add(fleet.joinRollouts(number, BOUNDS, (_service, status) -> write(number, status))));
        timer.advance(Duration.ofSeconds(1));
        requests = 0;
        exposure = 0;
    }

    private static LiveEndpoint endpoint(int number) {
        String region = number % 4 < 2 ? "asturias" : "galicia";
        return new LiveEndpoint(
                "engine-" + number,
                SERVICE,
                HostAndPort.fromParts("10.0.1." + number, 80),
                new FailureDomain("domain-" + region, new Region(region)),
                10,
                false,
                1,
                1 + number % 2,
                number % 2 == 0 ? OLD : TARGET);
    }

    private CompletableFuture<Boolean> write(int number, RolloutStatus status) {
        if (isStoreUnavailable) {
            return CompletableFuture.completedFuture(false);
        }
        if (stored.isEmpty() || status.stage() != stored.get().stage()) {
            writers.add(number);
        }
        stored = Optional.of(status);
        statuses.add(status);
        if (status.stage() == RolloutStage.COMPLETED) {
            oldRunningAtCompletion = oldRunning;
        }
        return CompletableFuture.completedFuture(true);
    }

    private void granted(SlotFleet.Node node, SlotDecision.Granted grant) {
        boolean isTarget = grant.endpoint().softwareVersion().equals(TARGET);
        requests++;
        exposure += isTarget ? 1 : 0;
        boolean isRolledBack = stored.filter(status -> status.stage() == RolloutStage.ROLLED_BACK)
                .isPresent();
        lateExposure += isTarget && isRolledBack ? 1 : 0;
        oldRunning += isTarget ? 0 : 1;
        boolean isBroken = isTarget && isTargetBad;
        timer.schedule(ANSWER_TIME, () -> {
            oldRunning -= isTarget ? 0 : 1;
            if (isBroken) {
                node.broken(grant);
            } else {
                node.answered(grant);
            }
        });
    }

    /** Lets all instances read the store now and then. */
    private void run(Duration time) {
        for (long passed = 0; passed < time.toMillis(); passed += 100) {
            ImmutableList<StoredRollout> orders = hasOrder
                    ? ImmutableList.of(new StoredRollout(
                            new RolloutOrder(SERVICE, target, DURATION),
                            stored.filter(status -> status.target().equals(target))))
                    : ImmutableList.of();
            if (!isStoreUnavailable) {
                IntStream.range(0, INSTANCES)
                        .filter(number -> !lost.contains(number))
                        .forEach(number -> deciders.get(number).setOrders(orders));
            }
            timer.advance(Duration.ofMillis(100));
        }
    }

    private void runUntil(RolloutStage stage) {
        for (int step = 0; step < 400 && stored.map(RolloutStatus::stage).orElse(null) != stage; step++) {
            run(Duration.ofMillis(100));
        }
    }

    private RolloutStage stage() {
        return stored.orElseThrow().stage();
    }

    private void assertBounded() {
        assertTrue(exposure <= 0.1 * requests + 50, exposure + " of " + requests);
    }

    /** Cuts off the instance that wrote the last stage, which then no longer reads the store. */
    private int loseDecider() {
        int number = writers.get(writers.size() - 1);
        fleet.network().isolate(SlotFleet.name(number));
        deciders.get(number).stopReading();
        lost.add(number);
        return number;
    }

    private void reconnect(int number) {
        fleet.network().reconnect(SlotFleet.name(number));
    }

    /** Guards against a good version that is not completed, or completed while old endpoints are in use. */
    @Test
    void goodVersionIsCompleted() {
        run(DURATION);
        assertEquals(RolloutStage.COMPLETED, stage());
        assertEquals(0, oldRunningAtCompletion);
        assertEquals(0, fleet.refusals());
        assertBounded();
        assertEquals(
                1, deciders.stream().mapToLong(RolloutDeciders::decidedCount).sum());
    }

    /** Guards against a bad version that stays in use. */
    @Test
    void badVersionIsRolledBack() {
        isTargetBad = true;
        run(DURATION);
        assertEquals(RolloutStage.ROLLED_BACK, stage());
        assertEquals(0, lateExposure);
        assertBounded();
    }

    /** Guards against exposure that rises, or a roll-out that stops for good, when the decider is lost at a stage. */
    @ParameterizedTest
    @EnumSource(names = {"PROBE", "CANARY", "CUTOVER", "SEALED"})
    void anotherInstanceTakesOver(RolloutStage stage) {
        runUntil(stage);
        assertEquals(stage, stage());
        int number = loseDecider();
        run(Duration.ofSeconds(3));
        reconnect(number);
        run(DURATION);
        assertTrue(stage().isFinal(), stage().name());
        assertTrue(writers.get(writers.size() - 1) != number);
        assertEquals(0, stage() == RolloutStage.COMPLETED ? oldRunningAtCompletion : 0);
        assertTrue(stage() == RolloutStage.COMPLETED || stage == RolloutStage.CUTOVER, stage().name());
    }

    /** Guards against an instance that is cut off, with access to the store, and decides for all others. */
    @Test
    void decidersThatAreCutOffCompleteNothing() {
        runUntil(RolloutStage.CANARY);
        IntStream.range(0, INSTANCES).forEach(number -> fleet.network().isolate(SlotFleet.name(number)));
        run(DURATION);
        assertTrue(statuses.stream().noneMatch(status -> status.stage() == RolloutStage.COMPLETED));
        assertBounded();
    }

    /** Guards against a successor that gives a bad version another chance. */
    @Test
    void successorKeepsABadVersionOut() {
        isTargetBad = true;
        runUntil(RolloutStage.ROLLED_BACK);
        loseDecider();
        run(Duration.ofSeconds(10));
        assertEquals(RolloutStage.ROLLED_BACK, stage());
        assertEquals(0, lateExposure);
    }

    /** Guards against a bad version that stays in use because the store cannot be written. */
    @Test
    void badVersionIsHeldBackWhileTheStoreIsUnavailable() {
        runUntil(RolloutStage.PROBE);
        isStoreUnavailable = true;
        isTargetBad = true;
        run(Duration.ofSeconds(25));
        int before = exposure;
        run(Duration.ofSeconds(5));
        assertEquals(before, exposure);
        assertBounded();
        isStoreUnavailable = false;
        run(Duration.ofSeconds(2));
        assertEquals(RolloutStage.ROLLED_BACK, stage());
    }

    /** Guards against a version that gets another chance when all deciders were cut off before the store was written. */
    @Test
    void badVersionStaysOutAfterAPartition() {
        runUntil(RolloutStage.PROBE);
        isStoreUnavailable = true;
        isTargetBad = true;
        run(Duration.ofSeconds(25));
        int before = exposure;
        IntStream.range(0, INSTANCES).forEach(number -> fleet.network().isolate(SlotFleet.name(number)));
        run(Duration.ofSeconds(3));
        IntStream.range(0, INSTANCES).forEach(this::reconnect);
        isStoreUnavailable = false;
        run(Duration.ofSeconds(3));
        assertEquals(RolloutStage.ROLLED_BACK, stage());
        assertEquals(before, exposure);
    }

    /** Guards against an earlier order for the same target that ends the new one. */
    @Test
    void sameTargetCanBeOrderedAgain() {
        isTargetBad = true;
        runUntil(RolloutStage.ROLLED_BACK);
        isTargetBad = false;
        hasOrder = false;
        run(Duration.ofSeconds(5));
        hasOrder = true;
        stored = Optional.empty();
        run(DURATION);
        assertEquals(RolloutStage.COMPLETED, stage());
        assertEquals(0, oldRunningAtCompletion);
    }

    /** Guards against endpoints that stay unused after the removal of the order. */
    @Test
    void removalOfTheOrderEndsTheRestriction() {
        run(Duration.ofSeconds(5));
        hasOrder = false;
        run(Duration.ofSeconds(4));
        int before = exposure;
        run(Duration.ofSeconds(2));
        assertTrue(exposure > before + 50, (exposure - before) + " requests to the target");
    }

    /** Guards against a second order that is mixed up with the first: its target has no endpoint and changes nothing. */
    @Test
    void secondOrderReplacesTheFirst() {
        run(Duration.ofSeconds(5));
        int written = statuses.size();
        target = "3";
        run(Duration.ofSeconds(10));
        assertEquals(written, statuses.size());
        assertBounded();
        assertEquals(0, fleet.refusals());
    }
}
