package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** An engine answers a long upload at once, and ends the connection after a part of the response. */
@Timeout(60)
class EarlyResponseTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nKeep-Alive: timeout=5\r\n";
    private static final String KEPT = HEAD + "Content-Length: 4\r\n\r\nkept";
    private static final String EVENT = "id: 1\ndata: a\n\n";

    /** More than the buffers of the sockets take, so that the relay is still writing when the engine ends. */
    private static final String LONG_BODY = "b".repeat(4_000_000);

    private static final int HALF_READ_BYTES = 100_000;

    /** The part would be taken for the whole (MIXED). */
    @ParameterizedTest
    @MethodSource("partialResponses")
    void aPartOfAResponseIsNotTakenForTheWhole(String framing, String ending, int readBytes, boolean isKept)
            throws Exception {
        String partial = HEAD + framing.formatted("half") + ending;
        try (ScriptedEngine engine = engine(partial, readBytes, isKept);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = call(relay, "/book/1", isKept);
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(isKept ? 2 : 1, engine.requests().size());
        }
    }

    /** The events of a part look complete one by one (ORDER). */
    @ParameterizedTest
    @MethodSource("partialResponses")
    void aPartOfAStreamIsNotTakenForTheWhole(String framing, String ending, int readBytes, boolean isKept)
            throws Exception {
        String partial = HEAD + framing.formatted(EVENT) + ending;
        try (ScriptedEngine engine = engine(partial, readBytes, isKept);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = call(relay, "/report/1", isKept);
            assertFalse(response.contains("0\r\n\r\n"), response);
            assertTrue(response.contains(EVENT) || response.startsWith("HTTP/1.1 502"), response);
        }
    }

    private static ScriptedEngine engine(String partial, int readBytes, boolean isKept) throws Exception {
        return (isKept ? new ScriptedEngine(KEPT, partial) : new ScriptedEngine(partial))
                .withResponsesAfterBodyBytes(readBytes);
    }

    private static String call(RelayHarness relay, String path, boolean isKept) throws Exception {
        if (isKept) {
            relay.call("GET", "/look/1", "", "");
        }
        return relay.call("POST", path, "X-Attempt: a2\r\n", LONG_BODY);
    }

    private static Stream<Arguments> partialResponses() {
        return Stream.of(
                        "Connection: close\r\n\r\n%s",
                        "\r\n%s",
                        "Content-Length: 400\r\n\r\n%s",
                        "Transfer-Encoding: chunked\r\n\r\n40\r\n%s",
                        "Transfer-Encoding: chunked\r\n\r\n")
                .flatMap(framing -> Stream.of(ScriptedEngine.RESET, ScriptedEngine.CLOSE, ScriptedEngine.END)
                        .flatMap(ending -> Stream.of(0, HALF_READ_BYTES).flatMap(readBytes -> Stream.of(false, true)
                                .map(isKept -> Arguments.of(framing, ending, readBytes, isKept)))));
    }
}
