package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import org.cowslippick.standin.engine.EngineCounters;

/**
 * The results of one trace under one policy.
 *
 * @param processorShare processor time of the run over its duration times the number of processors
 */
record PolicyRun(
        ImmutableList<CallOutcome> outcomes,
        ImmutableList<EngineCounters> engines,
        long shedInversions,
        long expiredInversions,
        PoolStatistics.Means pool,
        double processorShare) {

    private static final long MAXIMUM_VALUE = 600_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    double onTimeShare(Predicate<CallOutcome> filter) {
        long total = outcomes.stream().filter(filter).count();
        long onTime =
                outcomes.stream().filter(filter).filter(CallOutcome::isOnTime).count();
        return total == 0 ? 0 : (double) onTime / total;
    }

    /** Returns the sum of the tier weights of all answers that were on time. */
    double weightedGoodput() {
        return outcomes.stream()
                .filter(CallOutcome::isOnTime)
                .mapToInt(outcome -> outcome.request().tier().weight())
                .sum();
    }

    Histogram histogram(Predicate<CallOutcome> filter, ToLongFunction<CallOutcome> value) {
        Histogram histogram = new Histogram(MAXIMUM_VALUE, SIGNIFICANT_DIGITS);
        outcomes.stream()
                .filter(filter)
                .mapToLong(value)
                .forEach(recorded -> histogram.recordValue(Math.max(0, Math.min(recorded, MAXIMUM_VALUE))));
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
