package org.cowslippick.relay.message;

import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds heads that the HTTP decoder accepts although they consist of more than one response: a sender that stops within a
 * head and then writes another response continues the first head with the second one.
 */
public final class ResponseHeadValidator {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private final ImmutableSet<String> singleHeaders;

    /**
     * Creates a validator.
     *
     * @param singleHeaders names of headers that may occur once
     */
    public ResponseHeadValidator(ImmutableSet<String> singleHeaders) {
        this.singleHeaders = singleHeaders;
    }

    /** Returns what shows that the head is not that of one response, if anything does. */
    public Optional<String> findDefect(HttpResponse head) {
        if (containsStatusLine(head.status().reasonPhrase())) {
            return Optional.of("a second status line in the reason phrase");
        }
        return head.headers().entries().stream()
                .filter(header -> containsStatusLine(header.getValue()))
                .findFirst()
                .map(Map.Entry::getKey)
                .map(name -> "a second status line in the header " + name)
                .or(() -> findRepeatedHeader(head).map(name -> "more than one header " + name));
    }

    private Optional<String> findRepeatedHeader(HttpResponse head) {
        return singleHeaders.stream()
                .filter(name -> head.headers().getAll(name).size() > 1)
                .findFirst();
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
