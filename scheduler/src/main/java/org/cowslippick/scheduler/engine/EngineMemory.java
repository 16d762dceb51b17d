package org.cowslippick.scheduler.engine;

/** The tokens that the requests of one engine may occupy in its memory. */
public final class EngineMemory {

    /** Expected lengths of answers are too low for part of the requests. */
    private static final double ANSWER_ALLOWANCE = 1.5;

    private long reservedTokens;

    /** The tokens that a request may occupy, with an allowance for a longer answer than expected. */
    public static long tokens(long promptTokens, long answerTokens) {
        return promptTokens + (long) Math.ceil(ANSWER_ALLOWANCE * answerTokens);
    }

    public void reserve(long tokens) {
        reservedTokens += tokens;
    }

    public void free(long tokens) {
        reservedTokens -= tokens;
    }

    /** The tokens that the running requests may occupy together. */
    public long reservedTokens() {
        return reservedTokens;
    }

    /**
     * Whether a request fits beside the others. One that is larger than the memory fits an empty engine only, which
     * refuses it itself.
     *
     * @param capacityTokens 0 if unknown, which is no bound
     */
    public boolean fits(long tokens, long capacityTokens) {
        return capacityTokens == 0 || reservedTokens == 0 || reservedTokens + tokens <= capacityTokens;
    }
}
