package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.engine.EngineMemory;
import org.cowslippick.scheduler.engine.SpeedEstimate;
import org.junit.jupiter.api.Test;

/** Placement by the memory, the speed and the present load of engines. */
class EnginePlacementTest {

    private static final InstanceName INSTANCE = new InstanceName("front-1");
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", new Region("asturias"));
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long MEMORY_TOKENS = 10_000;
    private static final int SLOTS = 7;

    private final SlotQueue queue = new SlotQueue();
    private long lastNumber;

    /** An engine that holds requests beyond its memory crashes. */
    @Property(tries = 100, seed = "4711")
    void requestsOfAnEngineStayWithinItsMemory(
            @ForAll long seed, @ForAll @LongRange(min = 500, max = 12_000) long size) {
        Random random = new Random(seed);
        SlotQueue bounded = new SlotQueue();
        bounded.setMemoryTokens(MEMORY_TOKENS);
        bounded.replaceEndpoints(ImmutableList.of(endpoint(0, 1), endpoint(1, 1)), 0);
        Map<SlotKey, SlotDecision.Granted> running = new HashMap<>();
        for (int step = 1; step < 200; step++) {
            long now = step * MILLISECOND;
            ImmutableList<SlotDecision> decisions;
            if (random.nextBoolean() || running.isEmpty()) {
                decisions = bounded.offer(request(1 + random.nextInt((int) size), random.nextInt(1_000), now), now);
            } else {
                SlotKey ended = running.keySet().stream()
                        .skip(random.nextInt(running.size()))
                        .findFirst()
                        .orElseThrow();
                running.remove(ended);
                decisions = bounded.recordEnd(ended, AnswerOutcome.SOUND, now);
            }
            decisions.stream()
                    .filter(SlotDecision.Granted.class::isInstance)
                    .map(SlotDecision.Granted.class::cast)
                    .forEach(grant -> running.put(grant.request().key(), grant));
            running.values().stream()
                    .map(grant -> grant.endpoint().id())
                    .distinct()
                    .forEach(id -> {
                        long[] sizes = running.values().stream()
                                .filter(grant -> grant.endpoint().id().equals(id))
                                .mapToLong(grant -> tokens(grant.request()))
                                .toArray();
                        long sum = Arrays.stream(sizes).sum();
                        assertTrue(sizes.length == 1 || sum <= MEMORY_TOKENS, sizes.length + " requests with " + sum);
                    });
        }
    }

    private static long tokens(SlotRequest request) {
        return EngineMemory.tokens(request.promptTokens(), request.answerTokens());
    }

    /** A request that no engine can hold would have waited for room until its deadline. */
    @Test
    void requestLargerThanTheMemoryIsSentToAnEmptyEngine() {
        queue.setMemoryTokens(MEMORY_TOKENS);
        register(2);
        String busy = granted(queue.offer(request(100, 10, 0), 0)).endpoint().id();
        assertNotEquals(
                busy,
                granted(queue.offer(request(MEMORY_TOKENS + 1, 10, 0), 0))
                        .endpoint()
                        .id());
    }

    @Test
    void smallRequestPassesOneThatHasNoRoom() {
        queue.setMemoryTokens(MEMORY_TOKENS);
        register(1);
        granted(queue.offer(request(8_000, 10, 0), 0));
        assertTrue(queue.offer(request(8_000, 10, 0), 0).isEmpty());
        SlotRequest small = request(500, 10, 0);
        assertEquals(small, granted(queue.offer(small, 0)).request());
        assertEquals(1, queue.waitingCount());
    }

    @Test
    void memoryIsNoBoundIfItIsUnknown() {
        register(1);
        IntStream.range(0, SLOTS).forEach(_index -> granted(queue.offer(request(100_000, 10, 0), 0)));
    }

    /** Requests went to an engine that had become slow until the first of them ended. */
    @Test
    void overdueFirstEventLowersTheSpeedBeforeTheRequestEnds() {
        register(2);
        learn(2, 6_000);
        String slow = granted(queue.offer(request(2_000, 10, 0), 0)).endpoint().id();
        long now = Duration.ofMillis(400).toNanos();
        IntStream.range(0, 3).forEach(_index -> {
            SlotDecision.Granted grant = granted(queue.offer(request(2_000, 10, now), now));
            assertNotEquals(slow, grant.endpoint().id());
        });
    }

    /** The report of a first event may be lost; what was sent later and answered shows that the engine is not slow. */
    @Test
    void lostReportOfAFirstEventDoesNotMakeAnEngineSlow() {
        register(1);
        learn(1, 6_000);
        granted(queue.offer(request(2_000, 10, 0), 0));
        SlotRequest later = request(2_000, 10, MILLISECOND);
        granted(queue.offer(later, MILLISECOND));
        queue.recordAnswerStart(later.key(), 20 * MILLISECOND);
        long now = Duration.ofSeconds(1).toNanos();
        assertTrue(granted(queue.offer(request(2_000, 10, now), now)).predictedNanos() < 100 * MILLISECOND);
    }

    @Test
    void loadOfTheMachineRaisesThePredictionForAMoment() {
        register(1);
        learn(1, 6_000);
        SlotRequest first = request(2_000, 10, 0);
        long usual = granted(queue.offer(first, 0)).predictedNanos();
        queue.recordMachineLoad(first.key(), 500, MILLISECOND);
        queue.recordAnswerStart(first.key(), MILLISECOND);
        queue.recordEnd(first.key(), AnswerOutcome.SOUND, MILLISECOND);
        SlotRequest second = request(2_000, 10, MILLISECOND);
        assertTrue(granted(queue.offer(second, MILLISECOND)).predictedNanos() > 2 * usual);
        queue.recordAnswerStart(second.key(), 20 * MILLISECOND);
        long later = Duration.ofSeconds(5).toNanos();
        assertTrue(granted(queue.offer(request(2_000, 10, later), later)).predictedNanos() < 2 * usual);
    }

    /** A new owner placed requests by the initial speed until it had learnt every engine again. */
    @Test
    void newOwnerPlacesByTheSpeedsOfTheFormerOne() {
        register(3);
        queue.inheritSpeed("engine-0", new SpeedEstimate(30_000, 6_000_000, 0));
        queue.inheritSpeed("engine-1", new SpeedEstimate(6_900, 2_000_000, 0));
        queue.inheritSpeed("engine-2", new SpeedEstimate(30_000, 6_000_000, 0));
        SlotDecision.Granted grant = granted(queue.offer(request(6_670, 10, 0), 0));
        assertEquals("engine-1", grant.endpoint().id());
        assertEquals(6_900, grant.speed().nanosPerPromptToken());
    }

    private void register(int count) {
        queue.replaceEndpoints(
                IntStream.range(0, count)
                        .mapToObj(index -> endpoint(index, 1))
                        .collect(ImmutableList.toImmutableList()),
                0);
    }

    private void learn(int count, double nanosPerPromptToken) {
        IntStream.range(0, count)
                .forEach(index ->
                        queue.replaceSpeed("engine-" + index, new SpeedEstimate(nanosPerPromptToken, 4_000_000, 0)));
    }

    private static LiveEndpoint endpoint(int index, long version) {
        return new LiveEndpoint(
                "engine-" + index,
                new ServiceName("model"),
                HostAndPort.fromParts("10.0.0." + index, 80),
                DOMAIN,
                SLOTS,
                false,
                version);
    }

    private SlotRequest request(long promptTokens, long answerTokens, long nowNanos) {
        lastNumber++;
        long late = nowNanos + Duration.ofSeconds(20).toNanos();
        return new SlotRequest(
                new SlotKey(INSTANCE, lastNumber),
                0,
                0,
                lastNumber,
                promptTokens,
                answerTokens,
                false,
                0,
                8,
                nowNanos,
                late,
                late,
                late,
                late,
                ImmutableSet.of());
    }

    private static SlotDecision.Granted granted(ImmutableList<SlotDecision> decisions) {
        return (SlotDecision.Granted) decisions.get(0);
    }
}
