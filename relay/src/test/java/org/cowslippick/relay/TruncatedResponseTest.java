package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An engine's response ends before all of it was sent: it never reaches the caller as a complete one. */
@Timeout(30)
class TruncatedResponseTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\n";
    private static final String WITHOUT_LENGTH = HEAD + "Connection: close\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: a\n\n";

    /** More than the buffers of the sockets take, so that the relay is still writing when the engine resets. */
    private static final String LONG_BODY = "b".repeat(4_000_000);

    /** The relay learns of the reset by the failure of its own write, which is no end of the response (MIXED). */
    @Test
    void resetDuringTheRequestBodyDoesNotCompleteAResponseWithoutALength() throws Exception {
        try (ScriptedEngine engine =
                        new ScriptedEngine(WITHOUT_LENGTH + "half" + ScriptedEngine.RESET).withResponsesBeforeBody();
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/book/1", "", LONG_BODY);
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(1, engine.requests().size());
        }
    }

    /** As above for a stream, whose events look complete one by one (ORDER). */
    @Test
    void resetDuringTheRequestBodyDoesNotCompleteAStreamWithoutALength() throws Exception {
        try (ScriptedEngine engine =
                        new ScriptedEngine(WITHOUT_LENGTH + EVENT + ScriptedEngine.RESET).withResponsesBeforeBody();
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/report/1", "", LONG_BODY);
            assertTrue(response.contains(EVENT), response);
            assertFalse(response.contains("0\r\n\r\n"), response);
        }
    }

    @Test
    void resetDoesNotCompleteAResponseWithoutALength() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(WITHOUT_LENGTH + "half" + ScriptedEngine.RESET);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("POST", "/book/1", "", "hello").startsWith("HTTP/1.1 502"));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 8\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"})
    void closeBeforeTheStatedEndDoesNotCompleteAResponse(String started) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(HEAD + started + ScriptedEngine.CLOSE);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("POST", "/book/1", "", "hello").startsWith("HTTP/1.1 502"));
        }
    }

    /** A head that stops anywhere is no response, though its status line says 200 (MIXED, ORDER). */
    @ParameterizedTest
    @MethodSource("truncatedHeads")
    void closeOrResetWithinTheHeadIsNoResponse(String path, String truncated) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(truncated);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", path, "", "hello");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(1, engine.requests().size());
        }
    }

    private static Stream<Arguments> truncatedHeads() {
        String head = WITHOUT_LENGTH.replace("Connection: close\r\n", "Content-Length: 25\r\n");
        IntStream lengths = IntStream.of(
                0,
                "HTTP/1.1 200".length(),
                "HTTP/1.1 200 OK\r\n".length(),
                HEAD.length() - 1,
                HEAD.length(),
                HEAD.length() + "Content-Length: 2".length(),
                head.length() - "\r\n".length(),
                head.length() - 1);
        return lengths.mapToObj(length -> head.substring(0, length))
                .flatMap(start -> Stream.of(start + ScriptedEngine.CLOSE, start + ScriptedEngine.RESET))
                .flatMap(script -> Stream.of(Arguments.of("/book/1", script), Arguments.of("/report/1", script)));
    }

    @Test
    void closeCompletesAResponseWithoutALength() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(WITHOUT_LENGTH + "whole" + ScriptedEngine.CLOSE);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/book/1", "", "hello");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertTrue(response.endsWith("whole"), response);
        }
    }
}
