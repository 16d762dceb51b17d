package org.cowslippick.scheduler.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.engine.SpeedEstimate;
import org.cowslippick.scheduler.prefix.PromptPart;
import org.cowslippick.scheduler.stream.StreamTerms;
import org.junit.jupiter.api.Test;

/** Placement of requests whose prompts begin with parts that engines may keep. */
class KeptPartsPlacementTest {

    private static final InstanceName INSTANCE = new InstanceName("front-1");
    private static final FailureDomain DOMAIN = new FailureDomain("oviedo", new Region("asturias"));
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
    private static final long NANOS_PER_TOKEN = 12_000;
    private static final long OVERHEAD_TOKENS = 600;
    private static final int SHARED_TOKENS = 5_000;
    private static final int OWN_TOKENS = 500;
    private static final long FULL_NANOS = (SHARED_TOKENS + OWN_TOKENS + OVERHEAD_TOKENS) * NANOS_PER_TOKEN;
    private static final long SHORT_NANOS = (OWN_TOKENS + OVERHEAD_TOKENS) * NANOS_PER_TOKEN;
    private static final long REUSE_WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int HOT = 1;

    private SlotQueue queue = new SlotQueue();
    private long lastNumber = 1_000;
    private long now;

    /** A beginning that all requests share would draw all of them to the engine that read it first. */
    @Test
    void hotBeginningSpreadsAsSoonAsItsHolderIsNoFaster() {
        register(8, 400_000);
        String holder = read(HOT);
        Map<String, Integer> sent = new HashMap<>();
        for (int count = 0; count < 40; count++) {
            SlotDecision.Granted grant = offer(HOT);
            sent.merge(grant.endpoint().id(), 1, Integer::sum);
            assertTrue(grant.predictedNanos() <= FULL_NANOS || sent.size() == 8, "waits for the holder");
            if (count == 0) {
                assertEquals(holder, grant.endpoint().id());
                assertEquals(SHORT_NANOS, grant.predictedNanos());
            }
        }
        assertEquals(8, sent.size());
        assertEquals(7, sent.get(holder));
    }

    /** The saving counts at the engine's own speed, so a fast engine that reads all is better than a slow holder. */
    @Test
    void fastEngineIsPreferredToASlowOneThatKeepsTheBeginning() {
        register(1, 400_000);
        read(HOT);
        register(2, 400_000);
        queue.replaceSpeed("engine-1", new SpeedEstimate(NANOS_PER_TOKEN / 10.0, 4_000_000, 0));
        assertEquals("engine-1", offer(HOT).endpoint().id());
    }

    /** A beginning that other prompts have displaced would be placed on an engine that must read it again. */
    @Test
    void beginningIsNotCountedAfterOtherPromptsDisplacedIt() {
        register(1, 20_000);
        read(HOT);
        assertEquals(SHORT_NANOS, predicted(HOT));
        IntStream.range(2, 5).forEach(this::read);
        assertEquals(FULL_NANOS, predicted(HOT));
    }

    /** An engine that has forgotten would appear several times slower than it is, to all requests. */
    @Test
    void wrongBeliefDoesNotChangeTheSpeedOfTheEngine() {
        register(1, 400_000);
        read(HOT);
        for (int count = 0; count < 20; count++) {
            SlotDecision.Granted grant = offer(HOT);
            assertEquals(SHORT_NANOS, grant.predictedNanos());
            now += FULL_NANOS * 9 / 10;
            assertEquals(2 * SHORT_NANOS, predicted(HOT), "taken for overdue");
            answerAfter(grant, FULL_NANOS / 10);
        }
        assertEquals(SHORT_NANOS, predicted(HOT));
    }

    /** Uncertainty about kept parts would hide an engine that has become slow beyond it. */
    @Test
    void slownessThatNoForgottenPartExplainsIsLearnt() {
        register(1, 400_000);
        read(HOT);
        IntStream.range(0, 10).forEach(_count -> answerAfter(offer(HOT), 5 * FULL_NANOS));
        assertTrue(predicted(HOT) > 4 * SHORT_NANOS);
    }

    /** The owner's memory of the engines is lost with it; a new owner must not assume anything. */
    @Test
    void newOwnerCountsWholePromptsUntilItHasSeenThemRead() {
        register(1, 400_000);
        read(HOT);
        SlotDecision.Granted running = offer(HOT);
        queue = new SlotQueue();
        register(1, 400_000);
        queue.adopt(running.request(), running.endpoint().id(), now);
        assertEquals(FULL_NANOS, predicted(HOT));
        answerAfter(running, SHORT_NANOS);
        read(HOT);
        assertEquals(SHORT_NANOS, predicted(HOT));
    }

    @Test
    void restartedEngineKeepsNothing() {
        register(1, 400_000);
        read(HOT);
        SlotDecision.Granted running = offer(HOT);
        queue.replaceEndpoints(ImmutableList.of(endpoint(0, 1)), ++now);
        answerAfter(running, SHORT_NANOS - 1);
        assertEquals(FULL_NANOS, predicted(HOT));
    }

    @Test
    void engineWhoseConnectionBrokeKeepsNothing() {
        register(1, 400_000);
        read(HOT);
        queue.recordEnd(offer(HOT).request().key(), AnswerOutcome.BROKEN, now);
        assertEquals(FULL_NANOS, predicted(HOT));
    }

    @Test
    void nothingIsCountedWithoutAReuseWindow() {
        register(1, 400_000);
        queue.setPromptReuseWindow(0);
        read(HOT);
        assertEquals(FULL_NANOS, predicted(HOT));
    }

    @Test
    void nothingIsCountedWithoutAKnownMemory() {
        register(1, 0);
        read(HOT);
        assertEquals(FULL_NANOS, predicted(HOT));
    }

    private void register(int count, long memoryTokens) {
        queue.setMemoryTokens(memoryTokens);
        queue.setPromptReuseWindow(REUSE_WINDOW_NANOS);
        queue.replaceEndpoints(
                IntStream.range(0, count)
                        .mapToObj(index -> endpoint(index, 0))
                        .collect(ImmutableList.toImmutableList()),
                now);
    }

    /** Has an engine read a prompt that begins with the shared part. */
    private String read(int sharedPart) {
        SlotDecision.Granted grant = offer(sharedPart);
        answerAfter(grant, grant.predictedNanos());
        return grant.endpoint().id();
    }

    private void answerAfter(SlotDecision.Granted grant, long nanos) {
        now += nanos;
        answer(grant);
    }

    private void answer(SlotDecision.Granted grant) {
        queue.recordAnswerStart(grant.request().key(), now);
        now += MILLISECOND;
        queue.recordEnd(grant.request().key(), AnswerOutcome.SOUND, now);
    }

    /** The prediction for a request that is cancelled at once. */
    private long predicted(int sharedPart) {
        SlotDecision.Granted grant = offer(sharedPart);
        queue.recordEnd(grant.request().key(), AnswerOutcome.SOUND, now);
        return grant.predictedNanos();
    }

    private SlotDecision.Granted offer(int sharedPart) {
        return (SlotDecision.Granted) queue.offer(request(sharedPart), now).get(0);
    }

    private SlotRequest request(int sharedPart) {
        lastNumber++;
        long late = now + Duration.ofSeconds(20).toNanos();
        return new SlotRequest(
                new SlotKey(INSTANCE, lastNumber),
                0,
                0,
                lastNumber,
                SHARED_TOKENS + OWN_TOKENS,
                0,
                false,
                0,
                8,
                now,
                late,
                late,
                late,
                late,
                ImmutableSet.of(),
                Optional.empty(),
                ImmutableSet.of(),
                ImmutableList.of(new PromptPart(sharedPart, SHARED_TOKENS), new PromptPart(lastNumber, OWN_TOKENS)),
                StreamTerms.NONE);
    }

    private static LiveEndpoint endpoint(int index, long startedAtMilliseconds) {
        return new LiveEndpoint(
                "engine-" + index,
                new ServiceName("model"),
                HostAndPort.fromParts("10.0.0." + index, 80),
                DOMAIN,
                7,
                false,
                1,
                startedAtMilliseconds);
    }
}
