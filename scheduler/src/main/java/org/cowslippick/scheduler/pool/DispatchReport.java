package org.cowslippick.scheduler.pool;

import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;

/**
 * What an entry saw of one attempt.
 *
 * @param timeToFirstTokenNanos from dispatch to the first token or the whole answer; 0 if none arrived
 * @param betweenTokensNanos mean time between tokens; 0 if fewer than two arrived
 * @param answerTokens tokens that arrived
 * @param retryWanted whether the entry still holds the caller and the dispatch rule allows another attempt
 */
public record DispatchReport(
        RequestId request,
        EndpointName endpoint,
        DispatchPhase phase,
        long timeToFirstTokenNanos,
        long betweenTokensNanos,
        int answerTokens,
        boolean retryWanted) {}
