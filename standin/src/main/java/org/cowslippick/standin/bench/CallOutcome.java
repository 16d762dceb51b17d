package org.cowslippick.standin.bench;

import java.util.Optional;

/**
 * What a caller saw of one request; times are counted from the intended send time.
 *
 * @param lateNanos how long after the intended time it was sent
 * @param firstTokenNanos 0 if no token came
 * @param lastTokenNanos when the last token came
 * @param tokens how many tokens came
 * @param whole whether the answer is complete and has as many tokens as were asked for
 * @param queueMilliseconds the time in the queue by the receipt; 0 without one
 * @param entryFirstTokenMilliseconds the time from arrival to first token by the receipt; 0 without one
 * @param error the kind of the error, if one was answered
 */
record CallOutcome(
        TracedRequest request,
        long lateNanos,
        long firstTokenNanos,
        long lastTokenNanos,
        int tokens,
        boolean whole,
        long queueMilliseconds,
        long entryFirstTokenMilliseconds,
        Optional<String> error) {

    /** Whether the caller got all that the tier promises: first token, time between tokens, and deadline. */
    boolean onTime() {
        BenchTier tier = request.tier();
        return whole
                && firstTokenNanos <= tier.firstToken().toNanos()
                && lastTokenNanos <= tier.deadline().toNanos()
                && betweenTokensNanos() <= tier.betweenTokens().toNanos();
    }

    double sentAtSecond() {
        return request.sendAtNanos() / 1e9;
    }

    long betweenTokensNanos() {
        return tokens < 2 ? 0 : (lastTokenNanos - firstTokenNanos) / (tokens - 1);
    }
}
