package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/** Measures goodput by tier at twice the capacity of the engines. */
final class TiersBench {

    private static final double OVERLOAD_FACTOR = 2;
    private static final double TOP_TIER_ON_TIME_SHARE = 0.99;
    private static final double GOODPUT_RATIO_TO_NAIVE = 1.5;
    private static final Duration DURATION = Duration.ofSeconds(10);
    private static final Duration DRAIN = Duration.ofSeconds(10);

    private TiersBench() {}

    static BenchReport run(BenchOptions options) {
        double rate = OVERLOAD_FACTOR * BenchEngines.capacityRequestsPerSecond();
        Trace trace = Trace.generate(
                TraceParameters.withoutTimeouts(rate, options.durationOr(DURATION), LoadCurve.CONSTANT),
                options.seed());
        Comparison comparison = Comparison.run(trace, DRAIN, options.seed());
        return comparison.report(
                "tiers",
                options,
                ImmutableList.of(
                        comparison.row(
                                "top_tier_on_time_share",
                                "share",
                                run -> run.onTimeShare(
                                        outcome -> outcome.request().tier() == BenchTier.URGENT),
                                Target.atLeast(TOP_TIER_ON_TIME_SHARE)),
                        comparison.row(
                                "weighted_goodput",
                                "weighted answers",
                                PolicyRun::weightedGoodput,
                                Target.ratioAtLeast(GOODPUT_RATIO_TO_NAIVE)),
                        comparison.row("shed_inversions", "requests", PolicyRun::shedInversions, Target.atMost(0))));
    }
}
