package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The responses of several entries to the same request.
 *
 * @param bodies the bodies of the successful responses
 * @param missing error lines of the entries that sent no successful response
 */
record EntryResponses(ImmutableList<JsonNode> bodies, ImmutableList<String> missing) {

    /** Appends the error lines of the missing entries to a text. */
    String appendMissing(String text) {
        return Stream.concat(Stream.of(text), missing.stream().map(line -> "missing: " + line))
                .collect(Collectors.joining("\n"));
    }
}
