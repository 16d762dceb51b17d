package org.cowslippick.entry.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/** Reads and writes JSON. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /** Parses JSON; empty if the text is malformed. */
    public static Optional<JsonNode> read(String text) {
        try {
            return Optional.ofNullable(MAPPER.readTree(text)).filter(node -> !node.isMissingNode());
        } catch (JsonProcessingException malformed) {
            return Optional.empty();
        }
    }

    /** Serialises a record or a JSON node. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot write " + value.getClass() + " as JSON", impossible);
        }
    }
}
