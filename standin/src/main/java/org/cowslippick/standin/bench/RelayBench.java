package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.cowslippick.scheduler.pool.SchedulingPolicy;
import org.cowslippick.standin.engine.EngineSpeed;

/** Measures the latency that an entry adds, with alternating sequential calls to one engine directly and through it. */
final class RelayBench {

    private static final double MAXIMUM_ADDED_MILLISECONDS = 1;
    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;
    private static final int ROUNDS = 700;
    private static final int WARM_UP_ROUNDS = 150;
    private static final int PROMPT_TOKENS = 100;
    private static final int ANSWER_TOKENS = 4;
    private static final long MAXIMUM_LATENCY_NANOS = 60_000_000_000L;
    private static final EngineSpeed ENGINE = new EngineSpeed(1_000_000L, 0, 1_000_000, BenchEngines.BATCH_SIZE, 64);

    private final Caller caller;
    private final HostAndPort engine;
    private final HostAndPort entry;
    private final Histogram direct = new Histogram(MAXIMUM_LATENCY_NANOS, 4);
    private final Histogram relayed = new Histogram(MAXIMUM_LATENCY_NANOS, 4);

    private RelayBench(Caller caller, BenchSite site) {
        this.caller = caller;
        this.engine = site.engineAddresses().get(0);
        this.entry = site.entryAddresses().get(0);
    }

    static BenchReport run(BenchOptions options) {
        long startNanos = System.nanoTime();
        RelayBench cowslippick = measure(SchedulingPolicy.TIERED, options);
        RelayBench naive = measure(SchedulingPolicy.LEAST_REQUEST, options);
        return new BenchReport(
                "relay",
                options.seed(),
                (System.nanoTime() - startNanos) / 1e9,
                (int) (cowslippick.direct.getTotalCount() + cowslippick.relayed.getTotalCount()),
                ImmutableList.of(BenchReport.Row.of(
                        "relay_added_median_milliseconds",
                        "ms",
                        cowslippick.addedMilliseconds(MEDIAN),
                        naive.addedMilliseconds(MEDIAN),
                        Target.atMost(MAXIMUM_ADDED_MILLISECONDS))),
                ImmutableList.of(),
                ImmutableList.of(
                        new BenchReport.Diagnostic(
                                "straight_median",
                                "ms",
                                directMedianMilliseconds(cowslippick),
                                directMedianMilliseconds(naive)),
                        new BenchReport.Diagnostic(
                                "relay_added_p99",
                                "ms",
                                cowslippick.addedMilliseconds(P99),
                                naive.addedMilliseconds(P99))),
                ImmutableList.of());
    }

    private static RelayBench measure(SchedulingPolicy policy, BenchOptions options) {
        BenchSite.Plan plan =
                new BenchSite.Plan(policy, 1, ImmutableList.of(ENGINE), BenchSite.Plan.unlimited(), options.seed());
        try (BenchSite site = new BenchSite(plan);
                Caller caller = new Caller()) {
            RelayBench bench = new RelayBench(caller, site);
            IntStream.range(0, WARM_UP_ROUNDS).forEach(bench::runRound);
            bench.direct.reset();
            bench.relayed.reset();
            long endNanos = System.nanoTime()
                    + options.duration().map(Duration::toNanos).orElse(Long.MAX_VALUE / 2);
            IntStream.range(0, ROUNDS)
                    .takeWhile(_round -> System.nanoTime() < endNanos)
                    .forEach(bench::runRound);
            return bench;
        }
    }

    /** Calls the engine directly and through the entry; the order alternates between rounds. */
    private void runRound(int number) {
        TracedRequest request =
                new TracedRequest(number, 0, 0, BenchTier.URGENT, PROMPT_TOKENS, 0, ANSWER_TOKENS, Long.MAX_VALUE);
        if (number % 2 == 0) {
            measureCall(engine, Caller.Route.ENGINE, request, direct);
            measureCall(entry, Caller.Route.ENTRY, request, relayed);
        } else {
            measureCall(entry, Caller.Route.ENTRY, request, relayed);
            measureCall(engine, Caller.Route.ENGINE, request, direct);
        }
    }

    private void measureCall(HostAndPort address, Caller.Route route, TracedRequest request, Histogram latencies) {
        CallOutcome outcome =
                caller.send(address, route, request, System.nanoTime()).join();
        if (!outcome.isComplete()) {
            throw new IllegalStateException("incomplete answer in the relay bench: " + outcome);
        }
        latencies.recordValue(outcome.lastTokenNanos());
    }

    private double addedMilliseconds(double percentile) {
        return (relayed.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile))
                / NANOS_PER_MILLISECOND;
    }

    private static double directMedianMilliseconds(RelayBench bench) {
        return bench.direct.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLISECOND;
    }
}
