package org.cowslippick.scheduler.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowslippick.scheduler.rollout.RolloutTrial.Behaviour;

/** Roll-outs of good and bad versions, with messages that are up to a second late. */
class RolloutDecisionTest {

    private static final Duration DURATION = Duration.ofSeconds(60);
    private static final double RATE = 120;
    private static final Behaviour GOOD = new Behaviour() {
        @Override
        public double failures(int _route, double _second, int _running) {
            return 0.005;
        }
    };

    /** Guards against good versions that are rolled back, or not completed in time, or cut off old requests. */
    @Property(tries = 12, seed = "11")
    void goodVersionIsCompletedInTime(@ForAll long seed) {
        RolloutTrial trial = new RolloutTrial(seed, RATE, DURATION, GOOD).run();
        assertEquals(RolloutStage.COMPLETED, trial.stage(), trial::toString);
        assertEquals(0, trial.oldRunningAtCompletion);
        assertTrue(trial.isWithinBound(), trial::toString);
    }

    /** Guards against a general slowdown that condemns a good version while both versions run. */
    @Property(tries = 6, seed = "12")
    void generalSlownessCondemnsNothing(@ForAll long seed, @ForAll @IntRange(min = 5, max = 40) int from) {
        RolloutTrial trial = new RolloutTrial(seed, RATE, DURATION, GOOD)
                .slowEverythingFrom(from, 3)
                .run();
        assertTrue(trial.badAtRollback == 0 || trial.endedAtSecond > 58, trial::toString);
        assertTrue(trial.isWithinBound());
    }

    /** Guards against exposure beyond the bound by a version that turns bad at any moment, in any stage. */
    @Property(tries = 40, seed = "13")
    void badVersionStaysWithinTheBound(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 59) int from,
            @ForAll @IntRange(min = 10, max = 100) int percent) {
        RolloutTrial trial = new RolloutTrial(seed, RATE, DURATION, new Behaviour() {
                    @Override
                    public double failures(int _route, double second, int _running) {
                        return second < from ? 0 : percent / 100.0;
                    }
                })
                .run();
        assertBounded(trial);
        if (from < 50) {
            assertRolledBack(trial);
        }
    }

    /** Guards against a fault on one route that the others hide. */
    @Property(tries = 12, seed = "14")
    void versionThatIsBadOnOneRouteIsRolledBack(@ForAll long seed, @ForAll @IntRange(min = 0, max = 2) int broken) {
        RolloutTrial trial = new RolloutTrial(seed, RATE, DURATION, new Behaviour() {
                    @Override
                    public double failures(int route, double _second, int _running) {
                        return route == broken ? 0.4 : 0;
                    }
                })
                .run();
        assertBounded(trial);
        assertRolledBack(trial);
    }

    /** Guards against a version that is slow, without a failure. */
    @Property(tries = 12, seed = "15")
    void slowVersionIsRolledBack(@ForAll long seed, @ForAll @IntRange(min = 0, max = 40) int from) {
        RolloutTrial trial = new RolloutTrial(seed, RATE, DURATION, new Behaviour() {
                    @Override
                    public double slowness(int _route, double second, int _running) {
                        return second < from ? 1 : 4;
                    }
                })
                .run();
        assertBounded(trial);
        assertRolledBack(trial);
    }

    /** Guards against a version that fails under load only, which the cutover shows at the latest. */
    @Property(tries = 12, seed = "16")
    void versionThatFailsUnderLoadStaysWithinTheBound(@ForAll long seed) {
        RolloutTrial trial = new RolloutTrial(seed, RATE, DURATION, new Behaviour() {
                    @Override
                    public double failures(int _route, double _second, int running) {
                        return running > 8 ? 0.5 : 0;
                    }
                })
                .run();
        assertBounded(trial);
        assertRolledBack(trial);
    }

    /** Guards against exposure beyond the bound when requests come faster than the plan for the cutover assumed. */
    @Property(tries = 12, seed = "19")
    void boundHoldsInABurst(@ForAll long seed, @ForAll @IntRange(min = 50, max = 56) int from) {
        RolloutTrial trial =
                new RolloutTrial(seed, RATE, DURATION, GOOD).burstFrom(from, 4).run();
        assertTrue(trial.isWithinBound(), trial::toString);
    }

    /** Guards against a successor that exceeds the bound, or that forgets what the store holds. */
    @Property(tries = 12, seed = "17")
    void boundHoldsWhenTheDeciderIsLostAtAnyStage(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 3) int stage,
            @ForAll @IntRange(min = 0, max = 59) int from) {
        RolloutTrial trial = new RolloutTrial(seed, RATE, DURATION, new Behaviour() {
                    @Override
                    public double failures(int _route, double second, int _running) {
                        return second < from ? 0 : 0.45;
                    }
                })
                .loseDeciderAt(RolloutStage.values()[stage], Duration.ofSeconds(3))
                .run();
        assertBounded(trial);
    }

    /** Guards against a loss of the decider that costs the completion of a good version. */
    @Property(tries = 8, seed = "18")
    void goodVersionIsCompletedAfterTheLossOfADecider(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 1) int stage) {
        RolloutTrial trial = new RolloutTrial(seed, RATE, DURATION, GOOD)
                .loseDeciderAt(RolloutStage.values()[stage], Duration.ofSeconds(3))
                .run();
        assertEquals(1, trial.lossesOfDecider);
        assertEquals(RolloutStage.COMPLETED, trial.stage(), trial::toString);
        assertEquals(0, trial.oldRunningAtCompletion);
    }

    private static void assertBounded(RolloutTrial trial) {
        assertTrue(trial.isWithinBound(), trial::toString);
        assertEquals(0, trial.lateExposure(), "requests later than 5 s after the 50th bad response");
    }

    private static void assertRolledBack(RolloutTrial trial) {
        assertEquals(RolloutStage.ROLLED_BACK, trial.stage(), trial::toString);
    }
}
