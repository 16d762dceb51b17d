package org.cowslippick.entry.endpoint;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Incremental parser for server-sent events (WHATWG HTML, section 9.2) that have one data line each. */
public final class ServerSentEventParser {

    public static final int MAXIMUM_LINE_BYTES = 1 << 20;

    private static final String DATA_PREFIX = "data:";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Consumes the next bytes and returns the data of each event that they complete. */
    public ImmutableList<String> feed(byte[] bytes) {
        ImmutableList.Builder<String> events = ImmutableList.builder();
        int start = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (bytes[index] == '\n') {
                append(bytes, start, index);
                completeLine(events);
                start = index + 1;
            }
        }
        append(bytes, start, bytes.length);
        return events.build();
    }

    private void append(byte[] bytes, int start, int end) {
        if (line.size() + end - start > MAXIMUM_LINE_BYTES) {
            throw new IllegalArgumentException(
                    "line of an event stream is longer than " + MAXIMUM_LINE_BYTES + " bytes");
        }
        line.write(bytes, start, end - start);
    }

    private void completeLine(ImmutableList.Builder<String> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.startsWith(DATA_PREFIX)) {
            events.add(text.substring(DATA_PREFIX.length()).strip());
        }
    }
}
