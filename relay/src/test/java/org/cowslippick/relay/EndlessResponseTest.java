package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A faulty engine sends bytes without end, in the head or in the body of its response. */
@Timeout(30)
class EndlessResponseTest {

    /** The relay buffers at most one MiB of a response; the rest is in the buffers of the sockets. */
    private static final int MAXIMUM_BYTES = 24 << 20;

    private static final String STATUS = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\n";
    private static final String OTHER = "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nX-Seal: s\r\n";
    private static final String STREAM = STATUS + "Content-Type: text/event-stream\r\n";
    private static final String OK = STATUS + "Content-Length: 4\r\n\r\nbody";
    private static final String CHUNK = "64\r\n" + "x".repeat(100) + "\r\n";
    private static final String EVENT = "id: 1\ndata: a\n\n";

    static Stream<Arguments> responses() {
        return Stream.of(
                Arguments.of("empty lines before the head", "", "\r\n"),
                Arguments.of("a status line", "HTTP/1.1 200 ", "O"),
                Arguments.of("a header line", STATUS + "X-Long: ", "a"),
                Arguments.of("header lines", STATUS, "X-More: a\r\n"),
                Arguments.of("provisional responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
                Arguments.of("responses to another request", "", OTHER + "Content-Length: 1\r\n\r\nx"),
                Arguments.of("the body of a response to another request", OTHER + "\r\n", "x"),
                Arguments.of("a body without a length", STATUS + "\r\n", "x"),
                Arguments.of("a chunked body", STATUS + "Transfer-Encoding: chunked\r\n\r\n", CHUNK),
                Arguments.of("a chunk size", STATUS + "Transfer-Encoding: chunked\r\n\r\n", "0"),
                Arguments.of("a chunk extension", STATUS + "Transfer-Encoding: chunked\r\n\r\n1;", "x"),
                Arguments.of("trailers", STATUS + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n"));
    }

    static Stream<Arguments> streams() {
        return Stream.of(
                Arguments.of("an event", STREAM + "\r\n", "x"),
                Arguments.of("lines of an event", STREAM + "\r\n", "data: x\n"),
                Arguments.of("a line after an event", STREAM + "\r\n" + EVENT, "x"),
                Arguments.of("chunks of an event", STREAM + "Transfer-Encoding: chunked\r\n\r\n", CHUNK));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("responses")
    void anAtMostOnceRequestFailsAtOnceAndIsNotRepeated(String _name, String head, String repeated) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(head + ScriptedEngine.ENDLESS + repeated, OK);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/book/1", "", "hello");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(1, engine.requests().size());
            assertClosed(engine);
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("responses")
    void anIdempotentRequestIsAnsweredByAnotherEndpoint(String _name, String head, String repeated) throws Exception {
        String endless = head + ScriptedEngine.ENDLESS + repeated;
        try (ScriptedEngine faulty = new ScriptedEngine(endless, endless);
                ScriptedEngine sound = new ScriptedEngine(OK, OK);
                RelayHarness relay = new RelayHarness(sound, faulty)) {
            String response = relay.call("GET", "/look/1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertTrue(response.endsWith("\r\n\r\nbody"), response);
            assertEquals(1, faulty.requests().size());
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("streams")
    void aStreamIsBrokenOffAndNeverLooksComplete(String _name, String head, String repeated) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(head + ScriptedEngine.ENDLESS + repeated);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/report/1", "", "hi");
            assertTrue(response.startsWith(head.contains(EVENT) ? "HTTP/1.1 200" : "HTTP/1.1 502"), response);
            assertFalse(response.contains("0\r\n\r\n"), response);
            assertFalse(response.contains("xx") || response.contains("data: x"), response);
            assertFalse(response.contains("<silent>"), response);
            assertClosed(engine);
        }
    }

    private static void assertClosed(ScriptedEngine engine) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (engine.closedByRelay() == 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(1, engine.closedByRelay());
        assertTrue(engine.endlessBytes() < MAXIMUM_BYTES, "bytes taken: " + engine.endlessBytes());
    }
}
