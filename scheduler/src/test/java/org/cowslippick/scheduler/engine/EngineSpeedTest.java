package org.cowslippick.scheduler.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EngineSpeedTest {

    private static final double TOLERANCE = 1e-6;
    private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

    private final PoolSpeeds pool = new PoolSpeeds();
    private final EngineSpeed engine = new EngineSpeed(pool);

    /** Ten samples with a constant gain left a third of a wrong initial speed. */
    @Test
    void firstObservationsReplaceTheInitialSpeed() {
        engine.observePrompt(30_000, 0);
        assertEquals(30_000, engine.nanosPerPromptToken(0), TOLERANCE);
        engine.observePrompt(20_000, 0);
        assertEquals(25_000, engine.nanosPerPromptToken(0), TOLERANCE);
    }

    @Test
    void engineThatHasNotBeenObservedStartsFromTheMedianOfItsPool() {
        ImmutableList<EngineSpeed> engines = IntStream.of(30_000, 31_000, 32_000, 7_000, 8_000)
                .mapToObj(nanos -> {
                    EngineSpeed observed = new EngineSpeed(pool);
                    observed.observePrompt(nanos, 0);
                    return observed;
                })
                .collect(ImmutableList.toImmutableList());
        pool.update(engines, 0);
        assertTrue(engine.nanosPerPromptToken(0) >= 12_000, "speed " + engine.nanosPerPromptToken(0));
        assertTrue(!engine.isKnown());
    }

    @Test
    void reportedLoadOfTheMachineLosesHalfItsWeightInEachHalfLife() {
        engine.observePrompt(10_000, 0);
        engine.recordMachineLoad(300, 0);
        assertEquals(30_000, engine.nanosPerPromptToken(0), TOLERANCE);
        assertEquals(20_000, engine.nanosPerPromptToken(200 * MILLISECOND), TOLERANCE);
        assertEquals(15_000, engine.nanosPerPromptToken(400 * MILLISECOND), TOLERANCE);
        assertEquals(10_000, engine.nanosPerPromptToken(2_000 * MILLISECOND), TOLERANCE);
    }

    @Test
    void loadOfTheMachineIsNotTakenForTheSpeedOfTheEngine() {
        engine.observePrompt(10_000, 0);
        IntStream.rangeClosed(1, 20).forEach(second -> {
            long now = second * 1_000L * MILLISECOND;
            engine.recordMachineLoad(180, now);
            engine.observePrompt(18_000, now);
        });
        assertEquals(10_000, engine.nanosPerPromptToken(60_000 * MILLISECOND), TOLERANCE);
    }

    @Test
    void olderReportDoesNotReplaceANewerOne() {
        engine.observePrompt(10_000, 0);
        engine.recordMachineLoad(300, 100 * MILLISECOND);
        engine.recordMachineLoad(5_000, 50 * MILLISECOND);
        assertEquals(30_000, engine.nanosPerPromptToken(100 * MILLISECOND), TOLERANCE);
    }

    /** Whatever an engine reports, a sample at the engine's usual speed may only halve or double the estimate. */
    @Property(seed = "4711")
    void absurdReportsDoNotChangeTheSpeedAtOnce(@ForAll @DoubleRange(min = -1e9, max = 1e9) double percent) {
        EngineSpeed usual = new EngineSpeed(pool);
        usual.observePrompt(10_000, 0);
        usual.recordMachineLoad(percent, MILLISECOND);
        usual.observePrompt(10_000, MILLISECOND);
        double later = usual.nanosPerPromptToken(10_000 * MILLISECOND);
        assertTrue(later >= 5_000 && later <= 20_000, "learnt " + later);
    }

    @Property(seed = "4712")
    void estimateStaysWithinTheObservedRange(
            @ForAll @Size(min = 1, max = 30) List<@DoubleRange(min = 1, max = 1e6) Double> samples) {
        EngineSpeed observed = new EngineSpeed(pool);
        samples.forEach(sample -> observed.observePrompt(sample, 0));
        double learnt = observed.nanosPerPromptToken(0);
        assertTrue(
                learnt >= samples.stream().mapToDouble(sample -> sample).min().getAsDouble() - TOLERANCE);
        assertTrue(
                learnt <= samples.stream().mapToDouble(sample -> sample).max().getAsDouble() + TOLERANCE);
    }

    @Test
    void newOwnerStartsFromTheEstimateOfTheFormerOneUntilItHasObservations() {
        engine.observePrompt(30_000, 0);
        engine.observeAnswer(6_000_000);
        EngineSpeed next = new EngineSpeed(pool);
        next.inherit(engine.estimate());
        assertEquals(engine.estimate(), next.estimate());
        IntStream.range(0, 3).forEach(_sample -> next.observePrompt(20_000, 0));
        double own = next.nanosPerPromptToken(0);
        next.inherit(engine.estimate());
        assertEquals(own, next.nanosPerPromptToken(0), TOLERANCE);
    }

    @Test
    void estimatesThatAreNoPositiveNumbersAreUnknown() {
        assertEquals(SpeedEstimate.UNKNOWN, new SpeedEstimate(Double.NaN, -1, Double.POSITIVE_INFINITY));
        engine.inherit(SpeedEstimate.UNKNOWN);
        assertTrue(!engine.isKnown());
    }

    /** An engine of another generation of hardware kept the speed of the one that it replaced. */
    @Test
    void engineAtAnotherAddressStartsFromTheMedianAgain() {
        engine.observePrompt(90_000, 0);
        engine.restarted(true);
        assertEquals(90_000, engine.nanosPerPromptToken(0), TOLERANCE);
        engine.observePrompt(30_000, 0);
        assertEquals(60_000, engine.nanosPerPromptToken(0), TOLERANCE);
        engine.restarted(false);
        assertTrue(!engine.isKnown());
    }
}
