package org.cowslippick.relay.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** The fields of a log line, in insertion order. */
public final class LogLine {

    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Object> fields = new LinkedHashMap<>();

    private LogLine(String event) {
        fields.put("event", event);
    }

    /** Starts a line for an event, such as {@code request} or {@code start}. */
    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /** Adds a string; an empty one is omitted. */
    public LogLine with(String name, String value) {
        if (!value.isEmpty()) {
            fields.put(name, value);
        }
        return this;
    }

    public LogLine with(String name, long value) {
        fields.put(name, value);
        return this;
    }

    public LogLine with(String name, boolean value) {
        fields.put(name, value);
        return this;
    }

    /** The fields as members of a JSON object, without its braces. */
    @Override
    public String toString() {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            for (Map.Entry<String, Object> field : fields.entrySet()) {
                json.writeFieldName(field.getKey());
                write(json, field.getValue());
            }
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException("writing to an in-memory buffer failed", impossible);
        }
        String object = text.toString();
        return object.substring(1, object.length() - 1);
    }

    private static void write(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Long number) {
            json.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else {
            json.writeString(value.toString());
        }
    }
}
