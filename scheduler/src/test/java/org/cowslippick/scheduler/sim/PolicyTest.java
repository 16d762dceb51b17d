package org.cowslippick.scheduler.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;
import org.cowslippick.scheduler.pool.PoolSettings;
import org.cowslippick.scheduler.pool.Samples;
import org.cowslippick.scheduler.pool.SchedulingPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Compares the scheduling policies on the same traces. */
class PolicyTest {

    private static final int ENGINES = 12;
    private static final int SLOTS = 64;
    private static final long DURATION_NANOS = 40 * Samples.SECOND;
    private static final long SLOWED_FROM_NANOS = 10 * Samples.SECOND;
    private static final long SLOWED_TO_NANOS = 30 * Samples.SECOND;

    /** The baseline meets its first-token targets and deadlines at 200 requests per second but not at 300. */
    private static final double CAPACITY_PER_SECOND = 270;

    private static final double HALF_CAPACITY_PER_SECOND = CAPACITY_PER_SECOND / 2;

    @ParameterizedTest
    @CsvSource({"1, 64", "2, 64", "3, 1"})
    void keepsTheHighestTierOnTimeAtTwiceCapacity(long seed, int promptsPerIteration) {
        SimulationResults tiered =
                run(SchedulingPolicy.TIERED, seed, promptsPerIteration, _at -> 2 * CAPACITY_PER_SECOND, 0);
        SimulationResults baseline =
                run(SchedulingPolicy.LEAST_REQUEST, seed, promptsPerIteration, _at -> 2 * CAPACITY_PER_SECOND, 0);
        print("twice capacity", seed, tiered, baseline);
        assertTrue(tiered.onTimeShare(0) >= 0.99);
        assertTrue(tiered.weightedGoodput() >= 1.5 * baseline.weightedGoodput());
        assertTrue(tiered.wastedPrefillShare() <= 0.01);
    }

    @ParameterizedTest
    @CsvSource({"1, 64", "2, 64", "3, 1"})
    void keepsTheHighestTierOnTimeAtPeakLoad(long seed, int promptsPerIteration) {
        SimulationResults tiered = run(SchedulingPolicy.TIERED, seed, promptsPerIteration, PolicyTest::peakRate, 0);
        SimulationResults baseline =
                run(SchedulingPolicy.LEAST_REQUEST, seed, promptsPerIteration, PolicyTest::peakRate, 0);
        print("crest", seed, tiered, baseline);
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

    private static double peakRate(long atNanos) {
        boolean isPeak = atNanos > 10 * Samples.SECOND && atNanos < 16 * Samples.SECOND;
        return isPeak ? 4 * CAPACITY_PER_SECOND : HALF_CAPACITY_PER_SECOND;
    }

    private static double slowdown(SchedulingPolicy policy, long seed, int promptsPerIteration) {
        return slowPeriodP99(run(policy, seed, promptsPerIteration, _at -> HALF_CAPACITY_PER_SECOND, 2))
                / slowPeriodP99(run(policy, seed, promptsPerIteration, _at -> HALF_CAPACITY_PER_SECOND, 0));
    }

    private static double slowPeriodP99(SimulationResults results) {
        return results.arrivedBetween(SLOWED_FROM_NANOS, SLOWED_TO_NANOS).firstTokenMilliseconds(0.99);
    }

    private static void print(String label, long seed, SimulationResults tiered, SimulationResults baseline) {
        System.out.printf("%s seed %d: tiered %s%n", label, seed, tiered.summary());
        System.out.printf("%s seed %d: baseline %s%n", label, seed, baseline.summary());
    }

    private static SimulationResults run(
            SchedulingPolicy policy, long seed, int promptsPerIteration, LongToDoubleFunction rate, int slowed) {
        Simulation simulation =
                new Simulation(policy.create(seed, PoolSettings.DEFAULT), ENGINES, SLOTS, promptsPerIteration);
        IntStream.range(0, slowed).forEach(engine -> {
            simulation.setSlowdownAt(SLOWED_FROM_NANOS, engine, 10);
            simulation.setSlowdownAt(SLOWED_TO_NANOS, engine, 1);
        });
        return simulation.run(
                new TrafficGenerator(seed).generate(DURATION_NANOS, rate), DURATION_NANOS + 30 * Samples.SECOND);
    }
}
