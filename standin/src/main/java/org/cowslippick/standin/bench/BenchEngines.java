package org.cowslippick.standin.bench;

import com.google.common.collect.ImmutableList;
import java.util.Collections;
import org.cowslippick.standin.engine.EngineSpeed;

/** The dozen unlike engines of the benches, of two generations of hardware. */
final class BenchEngines {

    static final int BATCH = 8;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final EngineSpeed SPEED = new EngineSpeed(20_000_000L, 400_000L, 30_000, BATCH, 256);
    private static final ImmutableList<Double> FACTORS = ImmutableList.<Double>builder()
            .addAll(Collections.nCopies(3, 0.75))
            .addAll(Collections.nCopies(4, 1.0))
            .addAll(Collections.nCopies(3, 1.5))
            .addAll(Collections.nCopies(2, 2.0))
            .build();

    private BenchEngines() {}

    static ImmutableList<EngineSpeed> speeds() {
        return FACTORS.stream().map(SPEED::times).collect(ImmutableList.toImmutableList());
    }

    /**
     * The requests per second that all engines can finish when their batches are always full. A request takes its share
     * of as many steps as its answer has tokens, and the whole of the time in which its prompt is computed. The part of
     * prompts that all requests of an organisation share is counted as computed, so the true capacity is a little
     * higher.
     */
    static double capacityRequestsPerSecond(double promptTokens, double answerTokens) {
        return speeds().stream()
                .mapToDouble(speed -> NANOS_PER_SECOND / nanosPerRequest(speed, promptTokens, answerTokens))
                .sum();
    }

    /** The capacity for prompts and answers as long as those of every trace are on average. */
    static double capacityRequestsPerSecond() {
        return capacityRequestsPerSecond(
                mean(Trace.SHORTEST_PROMPT_TOKENS, Trace.LONGEST_PROMPT_TOKENS),
                mean(Trace.SHORTEST_ANSWER_TOKENS, Trace.LONGEST_ANSWER_TOKENS));
    }

    private static double nanosPerRequest(EngineSpeed speed, double promptTokens, double answerTokens) {
        double stepNanos = speed.stepNanos() + (double) speed.stepNanosPerRequest() * speed.batch();
        return answerTokens * stepNanos / speed.batch()
                + promptTokens / speed.prefillTokensPerSecond() * NANOS_PER_SECOND;
    }

    /** The mean of lengths that are spread evenly over their logarithm. */
    private static double mean(double shortest, double longest) {
        return (longest - shortest) / Math.log(longest / shortest);
    }
}
