package org.cowslippick.fleet.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** Reads fields of objects that other writers put into the store. */
public final class JsonFields {

    private JsonFields() {}

    public static String requiredText(JsonNode parent, String field) {
        return Optional.ofNullable(parent.get(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .orElseThrow(
                        () -> new IllegalArgumentException("field \"" + field + "\" is missing or is not a string"));
    }

    public static String optionalText(JsonNode parent, String field) {
        return Optional.ofNullable(parent.get(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .orElse("");
    }

    public static int requiredInteger(JsonNode parent, String field) {
        return Optional.ofNullable(parent.get(field))
                .filter(node -> node.isIntegralNumber() && node.canConvertToInt())
                .map(JsonNode::asInt)
                .orElseThrow(() ->
                        new IllegalArgumentException("field \"" + field + "\" is missing or is not a 32-bit integer"));
    }
}
