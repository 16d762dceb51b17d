package org.cowslippick.relay.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cowslippick.scheduler.prefix.PromptPart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The parts that a request names of its prompt. */
class RequestReaderTest {

    private static final RequestReader READER = new RequestReader(new HeaderNames(
            "X-Attempt",
            "X-Remaining",
            "X-Key",
            "X-Organisation",
            "X-Expect",
            "X-Seal",
            "X-Not-Run",
            "X-Limit",
            "X-Leaving",
            "X-Load",
            "X-Tokens",
            "X-Parts",
            "X-Hint",
            "X-Last-Event",
            "X-Resumes",
            ImmutableSet.of()));

    @Test
    void partsHaveTheirOrderAndLength() {
        ImmutableList<PromptPart> parts = parts("a1:5000, ff:0,c3:700");
        assertEquals(
                ImmutableList.of(5_000, 0, 700),
                parts.stream().map(PromptPart::tokens).collect(ImmutableList.toImmutableList()));
        assertEquals(parts.get(0).id(), parts("a1:5000").get(0).id());
        assertNotEquals(parts.get(0).id(), parts.get(1).id());
    }

    /** A part behind one that cannot be read would be taken for the beginning of the prompt. */
    @ParameterizedTest
    @ValueSource(strings = {"b2", "b2:", "b2:-1", "b2:1.5", ":7", "b2:99999999999", "b2:1:2"})
    void malformedPartEndsTheList(String malformed) {
        assertEquals(1, parts("a1:10," + malformed + ",c3:10").size());
    }

    @Test
    void numberOfPartsIsBounded() {
        String many = IntStream.range(0, 40).mapToObj(number -> number + ":1").collect(Collectors.joining(","));
        assertEquals(PromptPart.MAXIMUM_PARTS, parts(many).size());
        assertEquals(ImmutableList.of(), parts(""));
    }

    private static ImmutableList<PromptPart> parts(String header) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/look/1");
        head.headers().set("X-Parts", header);
        return READER.read(head, Unpooled.EMPTY_BUFFER, 0).promptParts();
    }
}
