package org.cowslippick.scheduler.slot;

import java.time.Duration;

/**
 * A request that runs on an endpoint.
 *
 * @param work the prompt tokens to process, with the fixed cost of a prompt
 * @param keptTokens the further prompt tokens that the engine is believed to keep from earlier requests
 * @param workToFirstToken the work of this request and of those before it whose prompts were not processed yet
 * @param maximumWorkToFirstToken the same if the engine keeps nothing
 * @param memoryTokens the tokens that it may occupy in the memory of the engine
 * @param predictedNanos the expected time to the first event if the engine keeps nothing
 * @param isAdopted whether another owner granted it, so that its start is unknown
 */
record Dispatch(
        double work,
        long keptTokens,
        double workToFirstToken,
        double maximumWorkToFirstToken,
        long memoryTokens,
        long predictedNanos,
        long startedAtNanos,
        boolean isAdopted,
        boolean answerStarted,
        long answerStartedAtNanos) {

    /** A first event that is this many times later than predicted shows that the endpoint is slower than learnt. */
    private static final int OVERDUE_FACTOR = 3;

    /** Delays of the network and of event loops exceed short predictions several times. */
    private static final long MINIMUM_OVERDUE_NANOS = Duration.ofMillis(100).toNanos();

    Dispatch(
            double work,
            long keptTokens,
            double workToFirstToken,
            double maximumWorkToFirstToken,
            long memoryTokens,
            long predictedNanos,
            long startedAtNanos) {
        this(
                work,
                keptTokens,
                workToFirstToken,
                maximumWorkToFirstToken,
                memoryTokens,
                predictedNanos,
                startedAtNanos,
                false,
                false,
                0);
    }

    /** A request of a former owner, which is taken to have its first event already. */
    static Dispatch adopted(double work, long memoryTokens, long nowNanos) {
        return new Dispatch(work, 0, work, work, memoryTokens, 0, nowNanos, true, true, nowNanos);
    }

    Dispatch withAnswerStart(long nowNanos) {
        return new Dispatch(
                work,
                keptTokens,
                workToFirstToken,
                maximumWorkToFirstToken,
                memoryTokens,
                predictedNanos,
                startedAtNanos,
                isAdopted,
                true,
                nowNanos);
    }

    long ageNanos(long nowNanos) {
        return nowNanos - startedAtNanos;
    }

    /** Whether both the start and the end of the answer are known at its end. */
    boolean isWholeAnswer() {
        return answerStarted && !isAdopted;
    }

    /** Whether the first event comes so late that the endpoint must be slower than it was. */
    boolean isOverdue(long nowNanos) {
        return ageNanos(nowNanos) > Math.max(OVERDUE_FACTOR * predictedNanos, predictedNanos + MINIMUM_OVERDUE_NANOS);
    }
}
