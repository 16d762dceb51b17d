package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowslippick.scheduler.pool.SchedulingPolicy;

/** Measures tail latency to first token while two of the twelve engines become ten times slower in mid-run. */
final class StragglersBench {

    private static final double LOAD = 0.6;
    private static final double SLOWDOWN = 10;
    private static final ImmutableList<Integer> STRAGGLERS = ImmutableList.of(4, 8);
    private static final double MAXIMUM_P99_SLOWDOWN = 1.3;
    private static final double PERCENTILE = 99;
    private static final Duration DURATION = Duration.ofMillis(9500);
    private static final Duration DRAIN = Duration.ofSeconds(1);

    private StragglersBench() {}

    static BenchReport run(BenchOptions options) {
        double rate = LOAD * BenchEngines.capacityRequestsPerSecond();
        Duration duration = options.durationOr(DURATION);
        Trace trace =
                Trace.generate(TraceParameters.withoutTimeouts(rate, duration, LoadCurve.CONSTANT), options.seed());
        Comparison steady = Comparison.run(trace, DRAIN, options.seed());
        Comparison withStragglers = new Comparison(
                trace,
                runWithStragglers(trace, SchedulingPolicy.TIERED, options.seed()),
                runWithStragglers(trace, SchedulingPolicy.LEAST_REQUEST, options.seed()));
        return withStragglers.report(
                "stragglers",
                options,
                ImmutableList.of(BenchReport.Row.of(
                        "straggler_p99_slowdown",
                        "times",
                        p99(withStragglers.cowslippick()) / p99(steady.cowslippick()),
                        p99(withStragglers.naive()) / p99(steady.naive()),
                        Target.atMost(MAXIMUM_P99_SLOWDOWN))));
    }

    private static PolicyRun runWithStragglers(Trace trace, SchedulingPolicy policy, long seed) {
        try (BenchSite site = new BenchSite(BenchSite.Plan.of(policy, seed))) {
            CompletableFuture.delayedExecutor(trace.duration().toMillis() / 2, TimeUnit.MILLISECONDS)
                    .execute(() -> STRAGGLERS.forEach(engine -> site.slowDown(engine, SLOWDOWN)));
            return new OpenLoopGenerator(site, DRAIN).run(trace);
        }
    }

    private static double p99(PolicyRun run) {
        return run.histogram(_outcome -> true, StragglersBench::firstTokenNanos).getValueAtPercentile(PERCENTILE);
    }

    /** An answer without tokens counts with its deadline, so that refusals do not shorten the tail. */
    private static long firstTokenNanos(CallOutcome outcome) {
        return outcome.tokens() > 0
                ? outcome.firstTokenNanos()
                : outcome.request().tier().deadline().toNanos();
    }
}
