package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableSet;

/**
 * A request that wants a slot.
 *
 * @param rank 0 is the most urgent
 * @param routeRank decides among requests of the same rank, 0 being the most urgent
 * @param fingerprint the same for all attempts of a caller with the same request
 * @param promptTokens what an endpoint has to read before its first token; 0 for application calls
 * @param answerTokens the expected length of the answer; 0 for application calls
 * @param isCallerRetry whether the caller was told before to come back later
 * @param maximumPauseNanos the longest pause between two events with which a stream is on time; 0 without a bound
 * @param tokensPerEvent how many tokens one event holds
 * @param onTimeUntilNanos until when the first token has to come for the answer to be on time
 * @param queueDeadlineNanos when a first attempt is better told to come back than kept
 * @param retryQueueDeadlineNanos when waiting any longer is no use, as a caller who came back leaves
 * @param expiresAtNanos when the caller, or the operator's timeout, ends the whole request
 * @param excludedEndpoints endpoints that it was already sent to
 */
public record SlotRequest(
        SlotKey key,
        int rank,
        int routeRank,
        long fingerprint,
        long promptTokens,
        long answerTokens,
        boolean isCallerRetry,
        long maximumPauseNanos,
        int tokensPerEvent,
        long arrivedAtNanos,
        long onTimeUntilNanos,
        long queueDeadlineNanos,
        long retryQueueDeadlineNanos,
        long expiresAtNanos,
        ImmutableSet<String> excludedEndpoints) {

    /** The same request as one whose caller was told before to come back. */
    SlotRequest asCallerRetry(long firstOnTimeUntilNanos) {
        return new SlotRequest(
                key,
                rank,
                routeRank,
                fingerprint,
                promptTokens,
                answerTokens,
                true,
                maximumPauseNanos,
                tokensPerEvent,
                arrivedAtNanos,
                firstOnTimeUntilNanos,
                retryQueueDeadlineNanos,
                retryQueueDeadlineNanos,
                expiresAtNanos,
                excludedEndpoints);
    }
}
