package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The answers of several entries to the same call.
 *
 * @param missing a line for each entry that gave no answer
 */
record EveryEntry(ImmutableList<JsonNode> bodies, ImmutableList<String> missing) {

    /** Adds the lines about entries that gave no answer. */
    String withMissing(String text) {
        return Stream.concat(Stream.of(text), missing.stream().map(line -> "missing: " + line))
                .collect(Collectors.joining("\n"));
    }
}
