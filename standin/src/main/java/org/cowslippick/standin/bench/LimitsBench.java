package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.cowslippick.scheduler.pool.SchedulingPolicy;

/**
 * How exactly limits hold over all entries: two organisations send twice their limit, one of them almost only to the
 * first entry, and one stays below its limit.
 */
final class LimitsBench {

    private static final double LOAD = 0.5;
    private static final int ENTRIES = 3;
    private static final double LIMIT_ERROR_SHARE = 0.05;
    private static final double OVER_LIMIT = 2;
    private static final double BELOW_LIMIT = 0.5;
    private static final ImmutableList<Double> SHARES = ImmutableList.of(0.4, 0.3, 0.3);
    private static final ImmutableList<Double> DEMAND_OVER_LIMIT =
            ImmutableList.of(OVER_LIMIT, OVER_LIMIT, BELOW_LIMIT);
    private static final Duration LENGTH = Duration.ofSeconds(13);
    private static final Duration DRAIN = Duration.ofSeconds(8);
    private static final String LIMIT_EXCEEDED = "limit-exceeded";

    private LimitsBench() {}

    static BenchReport run(BenchOptions options) {
        double rate = LOAD * BenchEngines.capacityRequestsPerSecond();
        Trace trace = Trace.draw(
                new TraceShape(rate, options.lengthOr(LENGTH), LoadCurve.CONSTANT, SHARES, false), options.seed());
        ImmutableList<OptionalDouble> limits = IntStream.range(0, SHARES.size())
                .mapToObj(number -> OptionalDouble.of(rate * SHARES.get(number) / DEMAND_OVER_LIMIT.get(number)))
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

    /** Requests admitted beyond what the limits allow, or not admitted although they allow them, over those allowed. */
    private static double errorShare(PolicyRun run, ImmutableList<OptionalDouble> limits, Trace trace) {
        double seconds = trace.length().toMillis() / 1000.0;
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
            double right = Math.min(demand, limits.get(number).getAsDouble() * seconds);
            error += Math.abs(admitted - right);
            allowed += right;
        }
        return allowed == 0 ? 0 : error / allowed;
    }
}
