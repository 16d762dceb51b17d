package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/** Measures service during a load surge to four times the initial rate, which is twice the capacity of the engines. */
final class CrestBench {

    private static final double INITIAL_LOAD = 0.5;
    private static final double TOP_TIER_ON_TIME_SHARE = 0.98;
    private static final Duration DURATION = Duration.ofSeconds(12);
    private static final Duration DRAIN = Duration.ofSeconds(9);

    private CrestBench() {}

    static BenchReport run(BenchOptions options) {
        double rate = INITIAL_LOAD * BenchEngines.capacityRequestsPerSecond();
        Trace trace = Trace.generate(
                TraceParameters.withoutTimeouts(rate, options.durationOr(DURATION), LoadCurve.SURGE), options.seed());
        Comparison comparison = Comparison.run(trace, DRAIN, options.seed());
        return comparison.report(
                "crest",
                options,
                ImmutableList.of(
                        comparison.row(
                                "crest_top_tier_on_time_share",
                                "share",
                                run -> run.onTimeShare(CrestBench::isUrgentDuringSurge),
                                Target.atLeast(TOP_TIER_ON_TIME_SHARE)),
                        comparison.row("shed_inversions", "requests", PolicyRun::shedInversions, Target.atMost(0))));
    }

    private static boolean isUrgentDuringSurge(CallOutcome outcome) {
        return outcome.request().tier() == BenchTier.URGENT
                && LoadCurve.SURGE.isAboveInitial(outcome.intendedSendSecond());
    }
}
