package org.cowslippick.scheduler.engine;

import java.util.Collection;
import java.util.function.Function;
import java.util.stream.DoubleStream;

/**
 * The medians of the speeds of a pool's engines, from which an engine that has not been observed yet starts. The initial
 * value counts as one more engine, so that a single slow engine does not make all others appear slow.
 */
public final class PoolSpeeds {

    private static final double INITIAL_NANOS_PER_PROMPT_TOKEN = 12_000;
    private static final double INITIAL_NANOS_PER_ANSWER_TOKEN = 4_000_000;
    private static final double INITIAL_CALL_NANOS = 80_000_000;

    /** The time between two updates for each engine, so that sorting takes a small part of a core. */
    private static final long UPDATE_PERIOD_PER_ENGINE_NANOS = 200_000;

    private double nanosPerPromptToken = INITIAL_NANOS_PER_PROMPT_TOKEN;
    private double nanosPerAnswerToken = INITIAL_NANOS_PER_ANSWER_TOKEN;
    private double callNanos = INITIAL_CALL_NANOS;
    private long nextUpdateNanos;
    private boolean isUpdated;

    /** Whether the medians are older than the time between two updates. */
    public boolean isOutdated(long nowNanos) {
        return !isUpdated || nowNanos - nextUpdateNanos >= 0;
    }

    /** Updates the medians. */
    public void update(Collection<EngineSpeed> engines, long nowNanos) {
        isUpdated = true;
        nextUpdateNanos = nowNanos + (engines.size() + 1) * UPDATE_PERIOD_PER_ENGINE_NANOS;
        nanosPerPromptToken = median(engines, EngineSpeed::prompt, INITIAL_NANOS_PER_PROMPT_TOKEN);
        nanosPerAnswerToken = median(engines, EngineSpeed::answer, INITIAL_NANOS_PER_ANSWER_TOKEN);
        callNanos = median(engines, EngineSpeed::call, INITIAL_CALL_NANOS);
    }

    private static double median(
            Collection<EngineSpeed> engines, Function<EngineSpeed, LearntTime> time, double initial) {
        double[] known = DoubleStream.concat(
                        DoubleStream.of(initial),
                        engines.stream()
                                .map(time)
                                .filter(LearntTime::isKnown)
                                .mapToDouble(learnt -> learnt.orElse(initial)))
                .sorted()
                .toArray();
        return known[(known.length - 1) / 2];
    }

    double nanosPerPromptToken() {
        return nanosPerPromptToken;
    }

    double nanosPerAnswerToken() {
        return nanosPerAnswerToken;
    }

    double callNanos() {
        return callNanos;
    }
}
