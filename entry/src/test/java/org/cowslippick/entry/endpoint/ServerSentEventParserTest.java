package org.cowslippick.entry.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

final class ServerSentEventParserTest {

    /** The parsed events must not depend on how the bytes are split into reads. */
    @Property(seed = "2", tries = 200)
    void eventsDoNotDependOnReadBoundaries(
            @ForAll @Size(max = 10) List<@AlphaChars @StringLength(min = 1, max = 20) String> events,
            @ForAll @IntRange(min = 1, max = 30) int readBytes) {
        byte[] bytes = events.stream()
                .map(event -> "event: token\ndata: " + event + "\n\n")
                .collect(Collectors.joining())
                .getBytes(StandardCharsets.UTF_8);
        ServerSentEventParser parser = new ServerSentEventParser();
        ImmutableList.Builder<String> parsed = ImmutableList.builder();
        for (int start = 0; start < bytes.length; start += readBytes) {
            parsed.addAll(parser.feed(Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + readBytes))));
        }
        assertEquals(events, parsed.build());
    }

    @Test
    void rejectsLineOverMaximumLength() {
        ServerSentEventParser parser = new ServerSentEventParser();
        byte[] bytes = new byte[ServerSentEventParser.MAXIMUM_LINE_BYTES + 1];
        assertThrows(IllegalArgumentException.class, () -> parser.feed(bytes));
    }
}
