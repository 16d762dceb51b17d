package org.cowslippick.relay.message;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * One request of a caller, read whole.
 *
 * @param target path and query as the caller sent them
 * @param headers those that may be passed on
 * @param host without a port
 * @param path without the query
 * @param fingerprint the same for all attempts of a caller with the same request
 * @param remainingMilliseconds how long the caller waits, if it says so
 * @param declaredTokens prompt and answer tokens, -1 if not stated
 */
public record CallerRequest(
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        String host,
        String path,
        String attemptId,
        Optional<String> credential,
        long fingerprint,
        Optional<Long> remainingMilliseconds,
        long promptTokens,
        long answerTokens,
        long declaredTokens,
        long arrivedAtNanos) {}
