package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.cowslippick.scheduler.pool.SchedulingPolicy;

/**
 * Measures how accurately limits hold over all entries, while two organisations send twice their limit and one stays
 * below its limit.
 */
final class LimitsBench {

    private static final double LOAD = 0.5;
    private static final int ENTRIES = 3;
    private static final double LIMIT_ERROR_SHARE = 0.05;
    private static final double ABOVE_LIMIT_FACTOR = 2;
    private static final double BELOW_LIMIT_FACTOR = 0.5;
    private static final ImmutableList<Double> ORGANISATION_SHARES = ImmutableList.of(0.4, 0.3, 0.3);
    private static final ImmutableList<Double> DEMAND_TO_LIMIT_RATIOS =
            ImmutableList.of(ABOVE_LIMIT_FACTOR, ABOVE_LIMIT_FACTOR, BELOW_LIMIT_FACTOR);
    private static final Duration DURATION = Duration.ofSeconds(13);
    private static final Duration DRAIN = Duration.ofSeconds(8);
    private static final String LIMIT_EXCEEDED = "limit-exceeded";

    private LimitsBench() {}

    static BenchReport run(BenchOptions options) {
        double rate = LOAD * BenchEngines.capacityRequestsPerSecond();
        Trace trace = Trace.generate(
                new TraceParameters(rate, options.durationOr(DURATION), LoadCurve.CONSTANT, ORGANISATION_SHARES, false),
                options.seed());
        ImmutableList<OptionalDouble> limits = IntStream.range(0, ORGANISATION_SHARES.size())
                .mapToObj(number ->
                        OptionalDouble.of(rate * ORGANISATION_SHARES.get(number) / DEMAND_TO_LIMIT_RATIOS.get(number)))
                .collect(ImmutableList.toImmutableList());
        Comparison comparison = new Comparison(
                trace,
                Comparison.run(trace, DRAIN, plan(SchedulingPolicy.TIERED, limits, options)),
                Comparison.run(trace, DRAIN, plan(SchedulingPolicy.LEAST_REQUEST, limits, options)));
        return comparison.report(
                "limits",
                options,
                ImmutableList.of(comparison.row(
                        "limit_error_share",
                        "share",
                        run -> errorShare(run, limits, trace),
                        Target.atMost(LIMIT_ERROR_SHARE))));
    }

    private static BenchSite.Plan plan(
            SchedulingPolicy policy, ImmutableList<OptionalDouble> limits, BenchOptions options) {
        return new BenchSite.Plan(policy, ENTRIES, BenchEngines.speeds(), limits, options.seed());
    }

    /** Returns the excess and missing admissions of all organisations, over the admissions that the limits allow. */
    private static double errorShare(PolicyRun run, ImmutableList<OptionalDouble> limits, Trace trace) {
        double seconds = trace.duration().toMillis() / 1000.0;
        double error = 0;
        double allowed = 0;
        for (int number = 0; number < limits.size(); number++) {
            int organisation = number;
            double demand = run.outcomes().stream()
                    .filter(outcome -> outcome.request().organisation() == organisation)
                    .count();
            long admitted = run.outcomes().stream()
                    .filter(outcome -> outcome.request().organisation() == organisation)
                    .filter(outcome ->
                            outcome.error().filter(LIMIT_EXCEEDED::equals).isEmpty())
                    .count();
            double expected = Math.min(demand, limits.get(number).getAsDouble() * seconds);
            error += Math.abs(admitted - expected);
            allowed += expected;
        }
        return allowed == 0 ? 0 : error / allowed;
    }
}
