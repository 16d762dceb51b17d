package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Objects;
import java.util.Optional;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.scheduler.prefix.PromptPart;
import org.cowslippick.scheduler.stream.StreamTerms;

/**
 * A request for a slot.
 *
 * @param rank 0 is the most urgent
 * @param routeRank orders requests of the same rank; 0 is the most urgent
 * @param fingerprint equal for all attempts of a caller with the same request
 * @param promptTokens the prompt tokens to process before the first token; 0 for application calls
 * @param answerTokens the expected length of the answer; 0 for application calls
 * @param isCallerRetry whether the caller retries after a refusal with a retry-after delay
 * @param maximumPauseNanos the longest pause between two events of a stream that is on time; 0 without a bound
 * @param tokensPerEvent the number of tokens in one event
 * @param onTimeUntilNanos the latest arrival of the first token for which the answer is on time
 * @param queueDeadlineNanos when a first attempt is better refused with a retry-after delay than kept in the queue
 * @param retryQueueDeadlineNanos the queue deadline of a caller's retry; queueing it longer is of no use, as such a
 *     caller disconnects
 * @param expiresAtNanos when the caller, or the operator's timeout, ends the whole request
 * @param excludedEndpoints the endpoints that the request was already sent to
 * @param organisation the caller's organisation; empty for anonymous callers
 * @param connectedEndpoints endpoints to which the asking instance has an idle connection that the request may use
 * @param promptParts the first parts of the prompt, in its order; empty if the request names none
 * @param stream what the request asks of the software version of its endpoint
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
        ImmutableSet<String> excludedEndpoints,
        Optional<OrganisationName> organisation,
        ImmutableSet<String> connectedEndpoints,
        ImmutableList<PromptPart> promptParts,
        StreamTerms stream) {

    /** Creates a request that names no parts of its prompt, and whose response cannot be resumed. */
    public SlotRequest(
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
            ImmutableSet<String> excludedEndpoints,
            Optional<OrganisationName> organisation,
            ImmutableSet<String> connectedEndpoints) {
        this(
                key,
                rank,
                routeRank,
                fingerprint,
                promptTokens,
                answerTokens,
                isCallerRetry,
                maximumPauseNanos,
                tokensPerEvent,
                arrivedAtNanos,
                onTimeUntilNanos,
                queueDeadlineNanos,
                retryQueueDeadlineNanos,
                expiresAtNanos,
                excludedEndpoints,
                organisation,
                connectedEndpoints,
                ImmutableList.of(),
                StreamTerms.NONE);
    }

    /** Creates a request of an anonymous caller by an instance without connections. */
    public SlotRequest(
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
        this(
                key,
                rank,
                routeRank,
                fingerprint,
                promptTokens,
                answerTokens,
                isCallerRetry,
                maximumPauseNanos,
                tokensPerEvent,
                arrivedAtNanos,
                onTimeUntilNanos,
                queueDeadlineNanos,
                retryQueueDeadlineNanos,
                expiresAtNanos,
                excludedEndpoints,
                Optional.empty(),
                ImmutableSet.of());
    }

    /** Equal for the requests of one route, and different for routes of another rank, pause or kind of work. */
    int routeKey() {
        return Objects.hash(routeRank, maximumPauseNanos, promptTokens > 0, answerTokens > 0);
    }

    /** Returns this request as a caller's retry, with the on-time limit of the first attempt. */
    SlotRequest asCallerRetry(long originalOnTimeUntilNanos) {
        return withRetry(true, originalOnTimeUntilNanos, retryQueueDeadlineNanos);
    }

    /**
     * Returns this request as one with the precedence of a caller's retry if it resumes a stream, as its caller has received
     * a part of the answer.
     */
    SlotRequest withPrecedenceOfResumption() {
        return stream.isResumption() ? asCallerRetry(onTimeUntilNanos) : this;
    }

    /** Returns this request as one without precedence, with the on-time limit of the first attempt. */
    SlotRequest asEarlyRetry(long originalOnTimeUntilNanos) {
        return withRetry(isCallerRetry, originalOnTimeUntilNanos, queueDeadlineNanos);
    }

    private SlotRequest withRetry(boolean isRetry, long onTimeNanos, long deadlineNanos) {
        return new SlotRequest(
                key,
                rank,
                routeRank,
                fingerprint,
                promptTokens,
                answerTokens,
                isRetry,
                maximumPauseNanos,
                tokensPerEvent,
                arrivedAtNanos,
                onTimeNanos,
                deadlineNanos,
                retryQueueDeadlineNanos,
                expiresAtNanos,
                excludedEndpoints,
                organisation,
                connectedEndpoints,
                promptParts,
                stream);
    }
}
