package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.util.Collections;
import org.cowslippick.standin.engine.EngineSpeed;

/** The twelve engines of the benches, with speeds of two generations of hardware. */
final class BenchEngines {

    static final int BATCH_SIZE = 8;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final EngineSpeed BASE_SPEED = new EngineSpeed(20_000_000L, 400_000L, 30_000, BATCH_SIZE, 256);
    private static final ImmutableList<Double> SPEED_FACTORS = ImmutableList.<Double>builder()
            .addAll(Collections.nCopies(3, 0.75))
            .addAll(Collections.nCopies(4, 1.0))
            .addAll(Collections.nCopies(3, 1.5))
            .addAll(Collections.nCopies(2, 2.0))
            .build();

    private BenchEngines() {}

    static ImmutableList<EngineSpeed> speeds() {
        return SPEED_FACTORS.stream().map(BASE_SPEED::scaledBy).collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the requests per second that all engines together can finish with full batches. A request takes its share
     * of one step for each answer token, and the whole time of its prefill. Prefixes that the requests of an
     * organisation share are counted as computed, so the true capacity is slightly higher.
     */
    static double capacityRequestsPerSecond(double promptTokens, double answerTokens) {
        return speeds().stream()
                .mapToDouble(speed -> NANOS_PER_SECOND / nanosPerRequest(speed, promptTokens, answerTokens))
                .sum();
    }

    /** Returns the capacity for the mean prompt and answer lengths of all traces. */
    static double capacityRequestsPerSecond() {
        return capacityRequestsPerSecond(
                logUniformMean(Trace.MINIMUM_PROMPT_TOKENS, Trace.MAXIMUM_PROMPT_TOKENS),
                logUniformMean(Trace.MINIMUM_ANSWER_TOKENS, Trace.MAXIMUM_ANSWER_TOKENS));
    }

    private static double nanosPerRequest(EngineSpeed speed, double promptTokens, double answerTokens) {
        double stepNanos = speed.stepNanos() + (double) speed.stepNanosPerRequest() * speed.batchSize();
        return answerTokens * stepNanos / speed.batchSize()
                + promptTokens / speed.prefillTokensPerSecond() * NANOS_PER_SECOND;
    }

    /** Returns the mean of a log-uniform distribution. */
    private static double logUniformMean(double shortest, double longest) {
        return (longest - shortest) / Math.log(longest / shortest);
    }
}
