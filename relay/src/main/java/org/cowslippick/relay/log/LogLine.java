package org.cowslippick.relay.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** The fields of one line of the log, in the order in which they were added. */
public final class LogLine {

    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Object> fields = new LinkedHashMap<>();

    private LogLine(String event) {
        fields.put("event", event);
    }

    /** Starts a line about an event, such as {@code request} or {@code start}. */
    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /** Adds a text; an empty one is left out. */
    public LogLine with(String name, String value) {
        if (!value.isEmpty()) {
            fields.put(name, value);
        }
        return this;
    }

    /** Adds a number. */
    public LogLine with(String name, long value) {
        fields.put(name, value);
        return this;
    }

    /** Adds a truth value. */
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
            throw new UncheckedIOException("a buffer in memory failed", impossible);
        }
        String object = text.toString();
        return object.substring(1, object.length() - 1);
    }

    private static void write(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Long number) {
            json.writeNumber(number);
        } else if (value instanceof Boolean truth) {
            json.writeBoolean(truth);
        } else {
            json.writeString(value.toString());
        }
    }
}
