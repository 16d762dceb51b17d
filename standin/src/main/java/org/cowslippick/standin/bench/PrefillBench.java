package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/** Measures prefill work wasted at twice the capacity of the engines, while callers time out. */
final class PrefillBench {

    private static final double OVERLOAD_FACTOR = 2;
    private static final double WASTED_PREFILL_SHARE = 0.01;
    private static final Duration DURATION = Duration.ofSeconds(10);
    private static final Duration DRAIN = Duration.ofSeconds(10);

    private PrefillBench() {}

    static BenchReport run(BenchOptions options) {
        double rate = OVERLOAD_FACTOR * BenchEngines.capacityRequestsPerSecond();
        Trace trace = Trace.generate(TraceParameters.withTimeouts(rate, options.durationOr(DURATION)), options.seed());
        Comparison comparison = Comparison.run(trace, DRAIN, options.seed());
        return comparison.report(
                "prefill",
                options,
                ImmutableList.of(comparison.row(
                        "wasted_prefill_share",
                        "share",
                        PolicyRun::wastedPrefillShare,
                        Target.atMost(WASTED_PREFILL_SHARE))));
    }
}
