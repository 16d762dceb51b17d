package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cowslippick.scheduler.pool.SchedulingPolicy;

/** The results of one trace under the policy of cowslippick and under the naive policy. */
record Comparison(Trace trace, PolicyRun cowslippick, PolicyRun naive) {

    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double WARM_UP_LOAD = 0.5;
    private static final Duration WARM_UP_DURATION = Duration.ofSeconds(4);
    private static final Duration WARM_UP_DRAIN = Duration.ofSeconds(1);

    /** Runs both policies one after the other, each on a new site, after a warm-up. */
    static Comparison run(Trace trace, Duration drain, long seed) {
        warmUp(seed);
        return new Comparison(
                trace,
                run(trace, drain, BenchSite.Plan.of(SchedulingPolicy.TIERED, seed)),
                run(trace, drain, BenchSite.Plan.of(SchedulingPolicy.LEAST_REQUEST, seed)));
    }

    /** Warms up the just-in-time compiler on a separate site, so that compilation slows down neither policy. */
    private static void warmUp(long seed) {
        double rate = WARM_UP_LOAD * BenchEngines.capacityRequestsPerSecond();
        Trace trace = Trace.generate(TraceParameters.withoutTimeouts(rate, WARM_UP_DURATION, LoadCurve.CONSTANT), seed);
        run(trace, WARM_UP_DRAIN, BenchSite.Plan.of(SchedulingPolicy.TIERED, seed));
    }

    static PolicyRun run(Trace trace, Duration drain, BenchSite.Plan plan) {
        try (BenchSite site = new BenchSite(plan)) {
            return new OpenLoopGenerator(site, drain).run(trace);
        }
    }

    BenchReport.Row row(String measure, String unit, ToDoubleFunction<PolicyRun> value, Target target) {
        return BenchReport.Row.of(measure, unit, value.applyAsDouble(cowslippick), value.applyAsDouble(naive), target);
    }

    BenchReport report(String bench, BenchOptions options, ImmutableList<BenchReport.Row> rows) {
        return new BenchReport(
                bench,
                options.seed(),
                trace.duration().toMillis() / 1000.0,
                trace.requests().size(),
                rows,
                tierRows(),
                diagnostics(),
                ImmutableList.of());
    }

    private ImmutableList<BenchReport.TierRow> tierRows() {
        return Stream.concat(tierRows("cowslippick", cowslippick), tierRows("naive", naive))
                .collect(ImmutableList.toImmutableList());
    }

    private static Stream<BenchReport.TierRow> tierRows(String policy, PolicyRun run) {
        return Arrays.stream(BenchTier.values()).map(tier -> tierRow(policy, tier, run));
    }

    private static BenchReport.TierRow tierRow(String policy, BenchTier tier, PolicyRun run) {
        ImmutableList<CallOutcome> outcomes = run.outcomes().stream()
                .filter(outcome -> outcome.request().tier() == tier)
                .collect(ImmutableList.toImmutableList());
        return new BenchReport.TierRow(
                policy,
                tier.text(),
                outcomes.size(),
                outcomes.stream().filter(CallOutcome::isOnTime).count(),
                outcomes.stream()
                        .filter(outcome -> outcome.error().isEmpty() && !outcome.isOnTime())
                        .count(),
                outcomes.stream()
                        .flatMap(outcome -> outcome.error().stream())
                        .collect(Collectors.collectingAndThen(
                                Collectors.groupingBy(kind -> kind, Collectors.counting()),
                                counts -> ImmutableSortedMap.copyOf(counts, Comparator.naturalOrder()))));
    }

    private ImmutableList<BenchReport.Diagnostic> diagnostics() {
        return ImmutableList.of(
                diagnostic("engine_capacity_requests_per_second", "1/s", _run -> capacity()),
                diagnostic("processor_share", "share", PolicyRun::processorShare),
                diagnostic(
                        "send_lateness_p99",
                        "ms",
                        run -> millisecondsAtPercentile(run, CallOutcome::sendDelayNanos, P99)),
                diagnostic("urgent_first_token_p50", "ms", run -> urgentFirstTokenMilliseconds(run, P50)),
                diagnostic("urgent_first_token_p99", "ms", run -> urgentFirstTokenMilliseconds(run, P99)),
                diagnostic(
                        "urgent_late_first_token",
                        "requests",
                        run -> countLateUrgent(run, Comparison::isFirstTokenLate)),
                diagnostic(
                        "urgent_late_between_tokens",
                        "requests",
                        run -> countLateUrgent(run, Comparison::isBetweenTokensLate)),
                diagnostic(
                        "urgent_late_deadline", "requests", run -> countLateUrgent(run, Comparison::isDeadlineMissed)),
                diagnostic("urgent_queue_p50", "ms", run -> urgentReceiptMedian(run, CallOutcome::queueMilliseconds)),
                diagnostic(
                        "urgent_entry_first_token_p50",
                        "ms",
                        run -> urgentReceiptMedian(run, CallOutcome::entryFirstTokenMilliseconds)),
                diagnostic("pool_queued_mean", "requests", run -> run.pool().queued()),
                diagnostic("pool_in_flight_mean", "requests", run -> run.pool().inFlight()),
                diagnostic("pool_window_mean", "requests", run -> run.pool().window()),
                diagnostic("expired_inversions", "requests", PolicyRun::expiredInversions),
                diagnostic("wasted_prefill_share", "share", PolicyRun::wastedPrefillShare));
    }

    private double capacity() {
        return BenchEngines.capacityRequestsPerSecond(trace.meanPromptTokens(), trace.meanAnswerTokens());
    }

    private BenchReport.Diagnostic diagnostic(String name, String unit, ToDoubleFunction<PolicyRun> value) {
        return new BenchReport.Diagnostic(name, unit, value.applyAsDouble(cowslippick), value.applyAsDouble(naive));
    }

    private static double urgentFirstTokenMilliseconds(PolicyRun run, double percentile) {
        return run.histogram(
                                outcome -> outcome.request().tier() == BenchTier.URGENT && outcome.tokens() > 0,
                                CallOutcome::firstTokenNanos)
                        .getValueAtPercentile(percentile)
                / NANOS_PER_MILLISECOND;
    }

    private static double urgentReceiptMedian(PolicyRun run, ToLongFunction<CallOutcome> milliseconds) {
        return run.histogram(
                        outcome -> outcome.request().tier() == BenchTier.URGENT && outcome.isComplete(), milliseconds)
                .getValueAtPercentile(P50);
    }

    private static double millisecondsAtPercentile(
            PolicyRun run, ToLongFunction<CallOutcome> nanos, double percentile) {
        return run.histogram(_outcome -> true, nanos).getValueAtPercentile(percentile) / NANOS_PER_MILLISECOND;
    }

    private static double countLateUrgent(PolicyRun run, Predicate<CallOutcome> late) {
        return run.outcomes().stream()
                .filter(outcome -> outcome.request().tier() == BenchTier.URGENT && outcome.isComplete())
                .filter(late)
                .count();
    }

    private static boolean isFirstTokenLate(CallOutcome outcome) {
        return outcome.firstTokenNanos() > outcome.request().tier().firstToken().toNanos();
    }

    private static boolean isBetweenTokensLate(CallOutcome outcome) {
        return outcome.betweenTokensNanos()
                > outcome.request().tier().betweenTokens().toNanos();
    }

    private static boolean isDeadlineMissed(CallOutcome outcome) {
        return outcome.lastTokenNanos() > outcome.request().tier().deadline().toNanos();
    }
}
