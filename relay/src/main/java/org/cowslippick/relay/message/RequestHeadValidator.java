package org.cowslippick.relay.message;

import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds heads and trailers that the HTTP decoder accepts although they are ambiguous, or consist of more than one request:
 * a sender that stops within a request and then writes another one continues the first with the second.
 */
public final class RequestHeadValidator {

    private static final ImmutableSet<String> METHODS =
            ImmutableSet.of("GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH");

    /** Registered methods that end in another one (RFC 3648, RFC 4918). */
    private static final ImmutableSet<String> METHODS_ENDING_IN_ANOTHER = ImmutableSet.of("ORDERPATCH", "PROPPATCH");

    /** What a target may consist of (RFC 3986), and further characters that callers send. */
    private static final CharMatcher VISIBLE_CHARACTERS = CharMatcher.inRange('!', '~');

    private static final Pattern END_OF_REQUEST_LINE = Pattern.compile("\\sHTTP/\\d\\.\\d$");

    private final ImmutableSet<String> singleHeaders;

    /**
     * Creates a validator.
     *
     * @param singleHeaders names of headers that may occur once, besides {@code Host}
     */
    public RequestHeadValidator(ImmutableSet<String> singleHeaders) {
        this.singleHeaders = ImmutableSet.<String>builder()
                .add(HttpHeaderNames.HOST.toString())
                .addAll(singleHeaders)
                .build();
    }

    /** Returns what shows that the head is not that of one request with one meaning, if anything does. */
    public Optional<String> findDefect(HttpRequest head) {
        if (hasAmbiguousLength(head.headers())) {
            return Optional.of("the length of the body is ambiguous");
        }
        if (!VISIBLE_CHARACTERS.matchesAllOf(head.uri())) {
            return Optional.of("the target has other characters than visible ones of ASCII");
        }
        if (isJoinedMethod(head.method().name())) {
            return Optional.of("the method ends in another method");
        }
        return findRepeatedHeader(head.headers())
                .map(name -> "more than one header " + name)
                .or(() -> findRequestLine(head.headers()).map(name -> "a second request line in the header " + name));
    }

    /**
     * Returns what shows that the trailers are the head of another request, if anything does. Headers on which a recipient
     * decides must not be trailers (RFC 9110, section 6.5.1).
     */
    public Optional<String> findTrailerDefect(HttpHeaders trailers) {
        return singleHeaders.stream()
                .filter(trailers::contains)
                .findFirst()
                .map(name -> "the header " + name + " behind the body");
    }

    /** Requests with two lengths allow request smuggling (RFC 9112, section 6.3). */
    private static boolean hasAmbiguousLength(HttpHeaders headers) {
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean isChunkedOnly = encodings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                        encodings.get(0).strip());
        return !encodings.isEmpty() && (headers.contains(HttpHeaderNames.CONTENT_LENGTH) || !isChunkedOnly);
    }

    private static boolean isJoinedMethod(String method) {
        return !METHODS.contains(method)
                && !METHODS_ENDING_IN_ANOTHER.contains(method)
                && METHODS.stream().anyMatch(method::endsWith);
    }

    private Optional<String> findRepeatedHeader(HttpHeaders headers) {
        return singleHeaders.stream()
                .filter(name -> headers.getAll(name).size() > 1)
                .findFirst();
    }

    /**
     * Finds the header whose value ends in the request line of another request. Only those before {@code Host} can, as
     * otherwise the other request would repeat it.
     */
    private static Optional<String> findRequestLine(HttpHeaders headers) {
        return headers.entries().stream()
                .takeWhile(header -> !HttpHeaderNames.HOST.contentEqualsIgnoreCase(header.getKey()))
                .filter(header -> END_OF_REQUEST_LINE.matcher(header.getValue()).find())
                .findFirst()
                .map(Map.Entry::getKey);
    }
}
