package org.cowslippick.scheduler.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;
import org.cowslippick.scheduler.pool.PoolSettings;
import org.cowslippick.scheduler.pool.Samples;
import org.cowslippick.scheduler.pool.SchedulingPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the policies on the same traces. */
class PolicyTest {

    private static final int ENGINES = 12;
    private static final int SLOTS = 64;
    private static final long DURATION_NANOS = 40 * Samples.SECOND;
    private static final long SLOWED_FROM_NANOS = 10 * Samples.SECOND;
    private static final long SLOWED_TO_NANOS = 30 * Samples.SECOND;

    /** The baseline keeps its promises at 200 requests a second and loses them at 300. */
    private static final double CAPACITY_PER_SECOND = 270;

    private static final double CALM_PER_SECOND = CAPACITY_PER_SECOND / 2;

    @ParameterizedTest
    @CsvSource({"1, 64", "2, 64", "3, 1"})
    void keepsTheHighestTierOnTimeAtTwiceCapacity(long seed, int promptsPerIteration) {
        Results tiered = run(SchedulingPolicy.TIERED, seed, promptsPerIteration, _at -> 2 * CAPACITY_PER_SECOND, 0);
        Results baseline =
                run(SchedulingPolicy.LEAST_REQUEST, seed, promptsPerIteration, _at -> 2 * CAPACITY_PER_SECOND, 0);
        show("twice capacity", seed, tiered, baseline);
        assertTrue(tiered.onTimeShare(0) >= 0.99);
        assertTrue(tiered.weightedGoodput() >= 1.5 * baseline.weightedGoodput());
        assertTrue(tiered.wastedPrefillShare() <= 0.01);
    }

    @ParameterizedTest
    @CsvSource({"1, 64", "2, 64", "3, 1"})
    void keepsTheHighestTierOnTimeAtTheCrest(long seed, int promptsPerIteration) {
        Results tiered = run(SchedulingPolicy.TIERED, seed, promptsPerIteration, PolicyTest::crest, 0);
        Results baseline = run(SchedulingPolicy.LEAST_REQUEST, seed, promptsPerIteration, PolicyTest::crest, 0);
        show("crest", seed, tiered, baseline);
        assertTrue(tiered.onTimeShare(0) >= 0.98);
        assertTrue(tiered.weightedGoodput() > baseline.weightedGoodput());
    }

    @ParameterizedTest
    @CsvSource({"1, 64", "2, 64", "3, 1"})
    void avoidsStragglers(long seed, int promptsPerIteration) {
        double tiered = slowdown(SchedulingPolicy.TIERED, seed, promptsPerIteration);
        double baseline = slowdown(SchedulingPolicy.LEAST_REQUEST, seed, promptsPerIteration);
        System.out.printf("stragglers seed %d: p99 slowdown tiered %.2f baseline %.2f%n", seed, tiered, baseline);
        assertTrue(tiered <= 1.3);
        assertTrue(tiered < baseline);
    }

    private static double crest(long atNanos) {
        boolean high = atNanos > 10 * Samples.SECOND && atNanos < 16 * Samples.SECOND;
        return high ? 4 * CAPACITY_PER_SECOND : CALM_PER_SECOND;
    }

    private static double slowdown(SchedulingPolicy policy, long seed, int promptsPerIteration) {
        return slowPeriodP99(run(policy, seed, promptsPerIteration, _at -> CALM_PER_SECOND, 2))
                / slowPeriodP99(run(policy, seed, promptsPerIteration, _at -> CALM_PER_SECOND, 0));
    }

    private static double slowPeriodP99(Results results) {
        return results.arrivedBetween(SLOWED_FROM_NANOS, SLOWED_TO_NANOS).firstTokenMilliseconds(0.99);
    }

    private static void show(String what, long seed, Results tiered, Results baseline) {
        System.out.printf("%s seed %d: tiered %s%n", what, seed, tiered.summary());
        System.out.printf("%s seed %d: baseline %s%n", what, seed, baseline.summary());
    }

    private static Results run(
            SchedulingPolicy policy, long seed, int promptsPerIteration, LongToDoubleFunction rate, int slowed) {
        Simulation simulation =
                new Simulation(policy.create(seed, PoolSettings.DEFAULT), ENGINES, SLOTS, promptsPerIteration);
        IntStream.range(0, slowed).forEach(engine -> {
            simulation.slowAt(SLOWED_FROM_NANOS, engine, 10);
            simulation.slowAt(SLOWED_TO_NANOS, engine, 1);
        });
        return simulation.run(new Traffic(seed).until(DURATION_NANOS, rate), DURATION_NANOS + 30 * Samples.SECOND);
    }
}
