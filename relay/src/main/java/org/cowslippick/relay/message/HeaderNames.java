package org.cowslippick.relay.message;

import com.google.common.collect.ImmutableSet;

/**
 * Names of the headers that the relay reads or sets, as defined by the platform in use.
 *
 * @param attemptId identifies one attempt of a caller; endpoints echo it
 * @param remainingTime milliseconds for which the sender of the request still waits
 * @param credential the caller's key, never forwarded to an endpoint
 * @param organisation the organisation of the request, set for the endpoint
 * @param expectedEndpoint the endpoint that the request is meant for; any other refuses it
 * @param seal the endpoint's proof that it produced the response
 * @param notRun marks the response to a request that the endpoint did not execute
 * @param rateLimit the requests a second that an endpoint accepts from all instances together
 * @param leaving marks the responses of an endpoint that takes no new requests
 * @param engineLoad the endpoint's load as {@code running,waiting,slots[,percent]}
 * @param tokenCounts number of prompt tokens and maximum number of answer tokens
 * @param promptParts the parts of the prompt in order, as comma-separated {@code id:tokens}; the last is not shared
 * @param lengthHint the caller's estimate of the answer tokens
 * @param lastEvent id of the event after which a stream is resumed
 * @param resumedAttempt the caller's attempt that brought the first event of the stream that a request resumes
 * @param reservedHeaders headers that only the relay may set; they are removed from callers' requests
 */
public record HeaderNames(
        String attemptId,
        String remainingTime,
        String credential,
        String organisation,
        String expectedEndpoint,
        String seal,
        String notRun,
        String rateLimit,
        String leaving,
        String engineLoad,
        String tokenCounts,
        String promptParts,
        String lengthHint,
        String lastEvent,
        String resumedAttempt,
        ImmutableSet<String> reservedHeaders) {

    /** Headers on which the relay decides, and which a caller's request has once at most. */
    public ImmutableSet<String> singleRequestHeaders() {
        return ImmutableSet.of(
                attemptId, remainingTime, credential, tokenCounts, promptParts, lengthHint, lastEvent, resumedAttempt);
    }
}
