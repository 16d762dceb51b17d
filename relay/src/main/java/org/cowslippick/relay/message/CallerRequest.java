package org.cowslippick.relay.message;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.cowslippick.scheduler.prefix.PromptPart;

/**
 * A request of a caller with its complete body.
 *
 * @param target path and query as the caller sent them
 * @param headers end-to-end headers that may be forwarded
 * @param host without a port
 * @param path without the query
 * @param fingerprint equal for all attempts of a caller at the same request
 * @param remainingMilliseconds how long the caller still waits, if stated
 * @param sharedParts ids of the parts of the prompt that other requests may share, in the order of the prompt
 * @param promptParts the first parts of the prompt with their lengths, in the order of the prompt
 * @param resumption the stream that the request resumes; empty if it begins one, or is no stream
 * @param declaredTokens sum of prompt and answer tokens, -1 if not stated
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
        ImmutableList<String> sharedParts,
        ImmutableList<PromptPart> promptParts,
        long promptTokens,
        long answerTokens,
        Optional<StreamResumption> resumption,
        long declaredTokens,
        long arrivedAtNanos) {

    /** The attempt that brought the first event, if the request resumes a stream and names it; else this attempt. */
    public String firstAttempt() {
        return resumption
                .map(StreamResumption::firstAttempt)
                .filter(attempt -> !attempt.isEmpty())
                .orElse(attemptId);
    }

    /** What an endpoint's crash may be due to, from the first part of the prompt to the request itself. */
    public ImmutableList<String> contents() {
        return ImmutableList.<String>builder()
                .addAll(sharedParts)
                .add("request:" + Long.toHexString(fingerprint))
                .build();
    }
}
