package org.cowslippick.standin.bench;

/**
 * One request of a trace.
 *
 * @param sendAtNanos the intended send time, counted from the start of the trace
 * @param organisation the number of the organisation
 * @param sharedPromptTokens how much of the prompt all requests of the organisation have in common
 * @param patienceNanos how long the caller waits for the first token before it leaves
 */
record TracedRequest(
        int number,
        long sendAtNanos,
        int organisation,
        BenchTier tier,
        int promptTokens,
        int sharedPromptTokens,
        int answerTokens,
        long patienceNanos) {}
