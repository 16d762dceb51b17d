package org.cowslippick.fleet.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;

/**
 * Reads JSON that other writers contributed to, and writes it. Values that are nested too deeply and numbers with too
 * many digits are read as null, so that one odd entry of a list does not make the others unreadable. It does without an
 * object mapper, whose setup is a noticeable part of the start of a process.
 */
public final class BoundedJson {

    /** Well above the depth of any value that is decoded. */
    private static final int MAXIMUM_DEPTH = 32;

    /** No number of 64 bits needs more characters; one with thousands takes long to convert. */
    private static final int MAXIMUM_NUMBER_CHARACTERS = 32;

    /** Without the table of names, which fails on many names with one hash. */
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(Integer.MAX_VALUE)
                    .maxNumberLength(Integer.MAX_VALUE)
                    .maxNameLength(Integer.MAX_VALUE)
                    .build())
            .build();

    private BoundedJson() {}

    public static JsonNode read(String text) throws JsonProcessingException {
        return read(new StringReader(text), JsonShape.ANY);
    }

    /** Reads what the shape selects from a reader over memory. */
    public static JsonNode read(Reader text, JsonShape shape) throws JsonProcessingException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            parser.nextToken();
            return readValue(parser, 0, shape);
        } catch (JsonProcessingException malformed) {
            throw malformed;
        } catch (IOException impossible) {
            throw new UncheckedIOException("reading from memory failed", impossible);
        }
    }

    public static String write(JsonNode node) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            writeValue(node, generator);
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to memory failed", impossible);
        }
        return text.toString();
    }

    private static void writeValue(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> writeObject(node, generator);
            case ARRAY -> writeArray(node, generator);
            case STRING -> generator.writeString(node.textValue());
            case NUMBER -> writeNumber(node, generator);
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            default -> generator.writeNull();
        }
    }

    private static void writeObject(JsonNode node, JsonGenerator generator) throws IOException {
        generator.writeStartObject();
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            generator.writeFieldName(field.getKey());
            writeValue(field.getValue(), generator);
        }
        generator.writeEndObject();
    }

    private static void writeArray(JsonNode node, JsonGenerator generator) throws IOException {
        generator.writeStartArray();
        for (JsonNode element : node) {
            writeValue(element, generator);
        }
        generator.writeEndArray();
    }

    private static void writeNumber(JsonNode node, JsonGenerator generator) throws IOException {
        if (node.isIntegralNumber()) {
            generator.writeNumber(node.longValue());
        } else {
            generator.writeNumber(node.doubleValue());
        }
    }

    private static JsonNode readValue(JsonParser parser, int depth, JsonShape shape) throws IOException {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        JsonToken token = parser.currentToken();
        if (token == null) {
            return nodes.missingNode();
        }
        return switch (token) {
            case START_OBJECT ->
                shape.isObject() && depth < MAXIMUM_DEPTH ? readObject(parser, depth, shape) : skip(parser);
            case START_ARRAY ->
                shape.isList() && depth < MAXIMUM_DEPTH ? readArray(parser, depth, shape) : skip(parser);
            case VALUE_STRING ->
                parser.getTextLength() <= shape.maximumTextCharacters()
                        ? nodes.textNode(parser.getText())
                        : nodes.nullNode();
            case VALUE_NUMBER_INT -> isLong(parser) ? nodes.numberNode(parser.getLongValue()) : nodes.nullNode();
            case VALUE_NUMBER_FLOAT -> isShort(parser) ? nodes.numberNode(parser.getDoubleValue()) : nodes.nullNode();
            case VALUE_TRUE, VALUE_FALSE -> nodes.booleanNode(token == JsonToken.VALUE_TRUE);
            default -> nodes.nullNode();
        };
    }

    private static JsonNode skip(JsonParser parser) throws IOException {
        parser.skipChildren();
        return JsonNodeFactory.instance.nullNode();
    }

    private static boolean isLong(JsonParser parser) throws IOException {
        return isShort(parser) && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER;
    }

    private static boolean isShort(JsonParser parser) throws IOException {
        return parser.getTextLength() <= MAXIMUM_NUMBER_CHARACTERS;
    }

    private static ObjectNode readObject(JsonParser parser, int depth, JsonShape shape) throws IOException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            Optional<JsonShape> field = shape.field(name);
            parser.nextToken();
            if (field.isPresent()) {
                object.set(name, readValue(parser, depth + 1, field.get()));
            } else {
                parser.skipChildren();
            }
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser parser, int depth, JsonShape shape) throws IOException {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY && parser.currentToken() != null) {
            array.add(readValue(parser, depth + 1, shape.element()));
        }
        return array;
    }
}
