package org.cowslippick.scheduler.pool;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;

/**
 * An entry's observation of one attempt.
 *
 * @param timeToFirstTokenNanos the time from dispatch to the first token or the complete answer; 0 if none arrived
 * @param betweenTokensNanos the mean time between tokens; 0 if fewer than two arrived
 * @param answerTokens the number of tokens that arrived
 * @param retryWanted whether the caller is still connected and the dispatch rule allows another attempt
 */
public record DispatchReport(
        RequestId request,
        EndpointName endpoint,
        DispatchPhase phase,
        long timeToFirstTokenNanos,
        long betweenTokensNanos,
        int answerTokens,
        boolean retryWanted) {}
