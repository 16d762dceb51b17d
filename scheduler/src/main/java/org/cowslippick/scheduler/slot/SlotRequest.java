package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableSet;

/**
 * A request that wants a slot.
 *
 * @param rank 0 is the most urgent
 * @param promptTokens what an endpoint has to read before its first token; 0 for application calls
 * @param answerTokens the expected length of the answer; 0 for application calls
 * @param onTimeUntilNanos until when the first token has to come for the answer to be on time
 * @param expiresAtNanos when the caller, or the operator's timeout, ends the wait
 * @param excluded endpoints that it was already sent to
 */
public record SlotRequest(
        SlotKey key,
        int rank,
        long promptTokens,
        long answerTokens,
        long arrivedAtNanos,
        long onTimeUntilNanos,
        long expiresAtNanos,
        ImmutableSet<String> excluded) {}
