package org.cowslippick.scheduler.sim;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The outcomes of a simulation run.
 *
 * @param processedPromptTokens the prompt tokens processed by all engines, useful or not
 */
record SimulationResults(ImmutableList<RequestOutcome> outcomes, long processedPromptTokens) {

    SimulationResults arrivedBetween(long fromNanos, long toNanos) {
        return new SimulationResults(
                outcomes.stream()
                        .filter(outcome -> outcome.request().arrivalNanos() >= fromNanos
                                && outcome.request().arrivalNanos() < toNanos)
                        .collect(ImmutableList.toImmutableList()),
                processedPromptTokens);
    }

    double onTimeShare(int rank) {
        Predicate<RequestOutcome> ofTier = outcome -> outcome.request().tier().rank() == rank;
        double onTime = outcomes.stream()
                .filter(ofTier)
                .filter(RequestOutcome::isOnTime)
                .count();
        return onTime / outcomes.stream().filter(ofTier).count();
    }

    double weightedGoodput() {
        return outcomes.stream()
                .filter(RequestOutcome::isOnTime)
                .mapToDouble(outcome -> outcome.request().tier().weight())
                .sum();
    }

    double firstTokenMilliseconds(double quantile) {
        List<Long> times = outcomes.stream()
                .filter(outcome -> outcome.firstTokenNanos() > 0)
                .map(outcome -> outcome.firstTokenNanos() - outcome.request().arrivalNanos())
                .sorted()
                .toList();
        return times.get((int) Math.min(times.size() - 1, Math.round(quantile * times.size()))) / 1e6;
    }

    /** The share of processed prompt tokens that did not contribute to an answer completed by its deadline. */
    double wastedPrefillShare() {
        double useful = outcomes.stream()
                .filter(RequestOutcome::isFinished)
                .mapToLong(RequestOutcome::usefulPromptTokens)
                .sum();
        return Math.max(0, 1 - useful / processedPromptTokens);
    }

    Map<String, Long> refusals() {
        return outcomes.stream()
                .flatMap(outcome -> outcome.refusal().stream()
                        .map(failure -> outcome.request().tier().rank() + " " + failure.kind()))
                .collect(Collectors.groupingBy(kind -> kind, TreeMap::new, Collectors.counting()));
    }

    String summary() {
        return String.format(
                "on time %.3f %.3f %.3f %.3f goodput %.0f p50 %.0f p99 %.0f ms wasted %.4f finished %d of %d %s",
                onTimeShare(0),
                onTimeShare(1),
                onTimeShare(2),
                onTimeShare(3),
                weightedGoodput(),
                firstTokenMilliseconds(0.5),
                firstTokenMilliseconds(0.99),
                wastedPrefillShare(),
                outcomes.stream().filter(RequestOutcome::isFinished).count(),
                outcomes.size(),
                refusals());
    }
}
