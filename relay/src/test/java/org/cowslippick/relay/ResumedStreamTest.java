package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A stream has begun and breaks off, and the engine that is to resume it responds with something else than the rest: the
 * caller gets neither that text nor the end of a complete stream, but a closed connection (ORDER, MIXED).
 */
@Timeout(30)
class ResumedStreamTest {

    private static final String SEALED = "X-Attempt: {id}\r\nX-Seal: s\r\n";
    private static final String STREAM = "HTTP/1.1 200 OK\r\n" + SEALED + "Content-Type: text/event-stream\r\n";
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String BROKEN = STREAM + "Connection: close\r\n\r\n" + FIRST + ScriptedEngine.RESET;
    private static final String ERROR_BODY = "Content-Length: 9\r\n\r\nwrong\n\nxx";

    static Stream<Arguments> continuations() {
        return Stream.of(
                Arguments.of("400", "HTTP/1.1 400 Bad Request\r\n" + SEALED + ERROR_BODY),
                Arguments.of("404", "HTTP/1.1 404 Not Found\r\n" + SEALED + ERROR_BODY),
                Arguments.of("409", "HTTP/1.1 409 Conflict\r\n" + SEALED + ERROR_BODY),
                Arguments.of("304", "HTTP/1.1 304 Not Modified\r\n" + SEALED + "\r\n"),
                Arguments.of("500", "HTTP/1.1 500 Internal Server Error\r\n" + SEALED + ERROR_BODY),
                Arguments.of("503", "HTTP/1.1 503 Service Unavailable\r\n" + SEALED + ERROR_BODY),
                Arguments.of("a refusal", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n" + SEALED + ERROR_BODY),
                Arguments.of("a page", "HTTP/1.1 200 OK\r\n" + SEALED + "Content-Type: text/html\r\n" + ERROR_BODY),
                Arguments.of(
                        "a stream without a seal",
                        "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nContent-Type: text/event-stream\r\n" + ERROR_BODY),
                Arguments.of("no content", "HTTP/1.1 204 No Content\r\n" + SEALED + "\r\n"),
                Arguments.of("a stream without an event", STREAM + "\r\n" + ScriptedEngine.CLOSE),
                Arguments.of("a head that stops", STREAM + ScriptedEngine.CLOSE),
                Arguments.of("a head that is reset", STREAM + "Content-Le" + ScriptedEngine.RESET),
                Arguments.of("no response", ScriptedEngine.CLOSE));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("continuations")
    void isBrokenOff(String _name, String continuation) throws Exception {
        try (ScriptedEngine one = new ScriptedEngine(BROKEN).withContinuation(continuation);
                ScriptedEngine other = new ScriptedEngine(BROKEN).withContinuation(continuation);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("POST", "/chat/1", "Connection: keep-alive\r\n", "hi");
            assertTrue(response.contains(FIRST), response);
            assertFalse(response.contains(LAST_CHUNK), response);
            assertFalse(response.contains("wrong"), response);
            assertEquals(1, response.split("HTTP/1.1", -1).length - 1, response);
            assertFalse(response.contains("<silent>"), response);
        }
    }

    /** All events had arrived before the break, and the engine that is to resume the stream says that none is left. */
    @Test
    void isCompleteIfTheRestIsEmptyByItsStatedLength() throws Exception {
        String empty = STREAM + "Content-Length: 0\r\n\r\n";
        try (ScriptedEngine one = new ScriptedEngine(BROKEN).withContinuation(empty);
                ScriptedEngine other = new ScriptedEngine(BROKEN).withContinuation(empty);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("POST", "/chat/1", "", "hi");
            assertTrue(response.endsWith(LAST_CHUNK), response);
        }
    }

    /** Without an id there is no place to resume at, and a new run would repeat the events. */
    @Test
    void isNotResumedIfNoEventHasAnId() throws Exception {
        String unnumbered = STREAM + "Connection: close\r\n\r\ndata: a\n\n" + ScriptedEngine.RESET;
        try (ScriptedEngine one = new ScriptedEngine(unnumbered);
                ScriptedEngine other = new ScriptedEngine(unnumbered);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("POST", "/chat/1", "", "hi");
            assertFalse(response.contains(LAST_CHUNK), response);
            assertEquals(1, one.requests().size() + other.requests().size());
        }
    }
}
