package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableSet;

/**
 * A request that wants a slot.
 *
 * @param key unique within the instance
 * @param rank 0 is the most urgent
 * @param promptTokens what an endpoint has to read before its first token; 0 for application calls
 * @param answerTokens the expected length of the answer; 0 for application calls
 * @param onTimeUntilNanos when an answer stops being on time
 * @param expiresAtNanos when the caller, or the operator's timeout, ends the wait
 * @param excluded endpoints that it was already sent to
 */
public record SlotRequest(
        long key,
        int rank,
        long promptTokens,
        long answerTokens,
        long arrivedAtNanos,
        long onTimeUntilNanos,
        long expiresAtNanos,
        ImmutableSet<String> excluded) {}
