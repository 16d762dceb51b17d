package org.cowslippick.standin.bench;

/**
 * A request of a trace.
 *
 * @param sendAtNanos intended send time since the start of the trace
 * @param organisation index of the organisation
 * @param sharedPromptTokens length of the prefix that the prompts of the organisation share
 * @param firstTokenTimeoutNanos time after which the caller disconnects if it has no token
 */
record TracedRequest(
        int number,
        long sendAtNanos,
        int organisation,
        BenchTier tier,
        int promptTokens,
        int sharedPromptTokens,
        int answerTokens,
        long firstTokenTimeoutNanos) {}
