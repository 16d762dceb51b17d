package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import org.cowslippick.standin.engine.EngineCounters;

/**
 * What one policy did with a trace.
 *
 * @param processorShare processor time of the run over its length and all processors
 */
record PolicyRun(
        ImmutableList<CallOutcome> outcomes,
        ImmutableList<EngineCounters> engines,
        long shedInversions,
        long expiredInversions,
        PoolSamples.Means pool,
        double processorShare) {

    private static final long LONGEST_NANOS = 600_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    double onTimeShare(Predicate<CallOutcome> among) {
        long all = outcomes.stream().filter(among).count();
        long onTime =
                outcomes.stream().filter(among).filter(CallOutcome::onTime).count();
        return all == 0 ? 0 : (double) onTime / all;
    }

    /** On-time answers, each times the weight of its tier. */
    double weightedGoodput() {
        return outcomes.stream()
                .filter(CallOutcome::onTime)
                .mapToInt(outcome -> outcome.request().tier().weight())
                .sum();
    }

    Histogram histogram(Predicate<CallOutcome> among, ToLongFunction<CallOutcome> nanos) {
        Histogram histogram = new Histogram(LONGEST_NANOS, SIGNIFICANT_DIGITS);
        outcomes.stream()
                .filter(among)
                .mapToLong(nanos)
                .forEach(value -> histogram.recordValue(Math.max(0, Math.min(value, LONGEST_NANOS))));
        return histogram;
    }

    double wastedPrefillShare() {
        long computed =
                engines.stream().mapToLong(EngineCounters::prefillTokens).sum();
        long wasted =
                engines.stream().mapToLong(EngineCounters::wastedPrefillTokens).sum();
        return computed == 0 ? 0 : (double) wasted / computed;
    }
}
