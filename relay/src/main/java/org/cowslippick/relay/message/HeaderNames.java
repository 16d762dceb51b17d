package org.cowslippick.relay.message;

import com.google.common.collect.ImmutableSet;

/**
 * The names of the headers that the relay reads or sets, as the platform in use spells them.
 *
 * @param attemptId names one attempt of a caller; endpoints echo it
 * @param remainingTime how many milliseconds the sender of the request still waits
 * @param credential the caller's key, never passed to an endpoint
 * @param organisation whose request it is, set for the endpoint
 * @param expectedEndpoint which endpoint the request is meant for; any other refuses it
 * @param seal the endpoint's proof that an answer is its own
 * @param notRun marks an answer to a request that the endpoint did not run
 * @param tokenCounts prompt tokens and the most answer tokens
 * @param lengthHint the caller's estimate of the answer tokens
 * @param lastEvent the event after which a stream is to continue
 * @param reservedHeaders headers that only the relay may set, so that a caller's copy is dropped
 */
public record HeaderNames(
        String attemptId,
        String remainingTime,
        String credential,
        String organisation,
        String expectedEndpoint,
        String seal,
        String notRun,
        String tokenCounts,
        String lengthHint,
        String lastEvent,
        ImmutableSet<String> reservedHeaders) {}
