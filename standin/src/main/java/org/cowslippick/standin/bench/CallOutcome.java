package org.cowslippick.standin.bench;

import java.util.Optional;

/**
 * The result of one request as observed by its caller. Times count from the intended send time.
 *
 * @param sendDelayNanos delay of the actual send time
 * @param firstTokenNanos time of the first token; 0 if none arrived
 * @param lastTokenNanos time of the last token
 * @param tokens number of tokens received
 * @param isComplete whether the answer ended without error and has the requested number of tokens
 * @param queueMilliseconds time in the queue according to the receipt; 0 without a receipt
 * @param entryFirstTokenMilliseconds time from arrival to first token according to the receipt; 0 without a receipt
 * @param error kind of error, if the request failed
 */
record CallOutcome(
        TracedRequest request,
        long sendDelayNanos,
        long firstTokenNanos,
        long lastTokenNanos,
        int tokens,
        boolean isComplete,
        long queueMilliseconds,
        long entryFirstTokenMilliseconds,
        Optional<String> error) {

    /** Returns whether all targets of the tier were met: first token, time between tokens and deadline. */
    boolean isOnTime() {
        BenchTier tier = request.tier();
        return isComplete
                && firstTokenNanos <= tier.firstToken().toNanos()
                && lastTokenNanos <= tier.deadline().toNanos()
                && betweenTokensNanos() <= tier.betweenTokens().toNanos();
    }

    double intendedSendSecond() {
        return request.sendAtNanos() / 1e9;
    }

    long betweenTokensNanos() {
        return tokens < 2 ? 0 : (lastTokenNanos - firstTokenNanos) / (tokens - 1);
    }
}
