package org.cowslippick.fleet.http;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Finds heads that are not those of one response (RFC 9112, sections 4 and 5). Any line may hold the status line of
 * another response, which has been cut short or has been continued there.
 */
final class ResponseHeadValidator {

    private static final Splitter LINES = Splitter.on(Pattern.compile("\r?\n"));
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}(?: .*)?");

    /** A name and a colon, or the continuation of the line before. White space in front of the colon is tolerated. */
    private static final Pattern HEADER_LINE = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+[ \t]*:.*|[ \t].*");

    /** Also in spellings that decoders accept. */
    private static final Pattern INNER_STATUS_LINE = Pattern.compile("(?i)HTTP/\\d\\.\\d[ \t]+\\d{3}(?!\\S)");

    private ResponseHeadValidator() {}

    /**
     * Returns what shows that the head is not that of one response, if anything does.
     *
     * @param head the bytes of the head as ISO 8859-1, with or without the empty line at its end
     */
    static Optional<String> findDefect(String head) {
        List<String> lines = LINES.splitToList(head.strip());
        if (!STATUS_LINE.matcher(lines.get(0)).matches()) {
            return Optional.of("malformed status line");
        }
        if (lines.stream().skip(1).anyMatch(line -> !HEADER_LINE.matcher(line).matches())) {
            return Optional.of("malformed header line");
        }
        String reason = lines.get(0).substring("HTTP/1.1 200".length());
        return Stream.concat(Stream.of(reason), lines.stream().skip(1))
                .filter(text -> INNER_STATUS_LINE.matcher(text).find())
                .findFirst()
                .map(_line -> "a second status line in the head");
    }
}
