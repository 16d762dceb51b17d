package org.cowslippick.scheduler.prefix;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class KeptPartsTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final PromptPart FIRST = new PromptPart(1, 1_000);
    private static final PromptPart SECOND_PART = new PromptPart(2, 500);
    private static final PromptPart OTHER = new PromptPart(3, 2_000);

    private final KeptPartsBounds bounds = new KeptPartsBounds();
    private final KeptParts kept = new KeptParts(bounds);

    KeptPartsTest() {
        bounds.setReuseWindow(10 * SECOND);
    }

    /** An engine cannot use a part whose predecessors it must read again. */
    @Test
    void partCountsOnlyWithAllPartsBeforeIt() {
        bounds.setMemoryTokens(10_000);
        kept.recordRead(ImmutableList.of(FIRST, SECOND_PART), 0, 1);
        assertEquals(1_500, kept.tokens(ImmutableList.of(FIRST, SECOND_PART, OTHER), 1));
        assertEquals(1_000, kept.tokens(ImmutableList.of(FIRST, OTHER, SECOND_PART), 1));
        assertEquals(0, kept.tokens(ImmutableList.of(OTHER, FIRST), 1));
    }

    /** Running requests would be believed to leave room that they have taken. */
    @Test
    void leastRecentlyUsedPartsYieldToRunningRequests() {
        bounds.setMemoryTokens(10_000);
        kept.recordRead(ImmutableList.of(FIRST, SECOND_PART), 0, 1);
        kept.recordRead(ImmutableList.of(OTHER), 2, 3);
        kept.recordUse(ImmutableList.of(FIRST, SECOND_PART), 4);
        kept.evict(6_500, 5);
        assertEquals(3, kept.size());
        kept.evict(8_500, 5);
        assertEquals(1_500, kept.tokens(ImmutableList.of(FIRST, SECOND_PART), 5));
        assertEquals(0, kept.tokens(ImmutableList.of(OTHER), 5));
        kept.evict(9_000, 5);
        assertEquals(1_000, kept.tokens(ImmutableList.of(FIRST, SECOND_PART), 5));
    }

    /** Requests would follow a saving that is smaller than the error of the predictions. */
    @Test
    void shortBeginningIsNotCounted() {
        bounds.setMemoryTokens(10_000);
        kept.recordRead(ImmutableList.of(new PromptPart(4, 300), new PromptPart(5, 212)), 0, 1);
        assertEquals(0, kept.tokens(ImmutableList.of(new PromptPart(4, 300)), 1));
        assertEquals(512, kept.tokens(ImmutableList.of(new PromptPart(4, 300), new PromptPart(5, 212)), 1));
    }

    @Test
    void partIsNotCountedLongAfterItsLastUse() {
        bounds.setMemoryTokens(10_000);
        kept.recordRead(ImmutableList.of(FIRST), 0, 0);
        assertEquals(1_000, kept.tokens(ImmutableList.of(FIRST), 10 * SECOND));
        assertEquals(0, kept.tokens(ImmutableList.of(FIRST), 10 * SECOND + 1));
        kept.evict(0, 10 * SECOND + 1);
        assertEquals(0, kept.size());
    }

    /** A report that was under way when the engine ended would fill the new run's record with parts of the old run. */
    @Test
    void promptSentBeforeTheLossOfMemoryIsIgnored() {
        bounds.setMemoryTokens(10_000);
        kept.forget(5);
        kept.recordRead(ImmutableList.of(FIRST), 4, 6);
        assertEquals(0, kept.size());
        kept.recordRead(ImmutableList.of(FIRST), 6, 7);
        assertEquals(1, kept.size());
    }

    @Property(tries = 100, seed = "4711")
    void partsStayWithinTheBounds(@ForAll long seed) {
        Random random = new Random(seed);
        bounds.setMemoryTokens(20_000);
        bounds.setEngines(1 + random.nextInt(1_900));
        KeptParts bounded = new KeptParts(bounds);
        for (int step = 1; step < 300; step++) {
            ImmutableList<PromptPart> prompt = IntStream.rangeClosed(1, 1 + random.nextInt(5))
                    .mapToObj(_part -> new PromptPart(random.nextInt(40), random.nextInt(1_000)))
                    .collect(ImmutableList.toImmutableList());
            long running = random.nextInt(22_000);
            bounded.recordUse(prompt, step);
            bounded.recordRead(prompt, step, step);
            bounded.evict(running, step);
            long tokens = bounded.totalTokens();
            assertTrue(tokens >= 0 && tokens <= Math.max(0, 20_000 - running), tokens + " beside " + running);
            assertTrue(tokens == 0 || bounded.size() > 0, tokens + " without a part");
            assertTrue(bounded.size() <= bounds.partsPerEngine());
        }
    }
}
