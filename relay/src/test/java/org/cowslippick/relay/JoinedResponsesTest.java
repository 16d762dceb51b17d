package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Engines that begin a second response, and stop anywhere within its head. */
class JoinedResponsesTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
    private static final String FAILED =
            "HTTP/1.1 500 Internal Server Error\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad";
    private static final String SECOND_HEAD =
            "HTTP/1.1 200 OK\r\nX-Seal: late\r\nX-Not-Run: 1\r\nContent-Length: 4\r\nX-Attempt: other\r\n\r\n";

    private static final String EVENT = "id: 1\ndata: bad\n\n";
    private static final String FAILED_WITH_EVENT = FAILED.replace(
                    "Content-Length: 3", "Content-Length: " + EVENT.length())
            .replace("bad", EVENT);

    static Stream<String> beginnings() {
        return beginningsOf(SECOND_HEAD);
    }

    private static Stream<String> beginningsOf(String head) {
        return IntStream.range(1, head.length()).mapToObj(length -> head.substring(0, length));
    }

    static Stream<String> refusalBeginnings() {
        return beginningsOf(SECOND_HEAD.replace("200 OK", "503 Service Unavailable"));
    }

    @ParameterizedTest
    @MethodSource("beginnings")
    void failureBehindTheBeginningOfAnotherResponseIsNoSuccess(String beginning) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(beginning + FAILED);
                RelayHarness relay = new RelayHarness(engine)) {
            assertNoSuccess(relay.call("GET", "/read/1", "", ""));
        }
    }

    @ParameterizedTest
    @MethodSource("beginnings")
    void failureBehindTheBeginningOfAnotherResponseIsNoStream(String beginning) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(beginning + FAILED_WITH_EVENT);
                RelayHarness relay = new RelayHarness(engine)) {
            assertNoSuccess(relay.call("POST", "/report/1", "", "hi"));
        }
    }

    @ParameterizedTest
    @MethodSource("beginnings")
    void failureBehindTheBeginningOfAnotherResponseOnAKeptConnectionIsNoSuccess(String beginning) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK, beginning + FAILED);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("GET", "/read/1", "", "").endsWith("body"));
            assertNoSuccess(relay.call("GET", "/read/2", "X-Attempt: a2\r\n", ""));
            assertEquals(2, engine.requests().size());
            assertEquals(1, engine.connections());
        }
    }

    @ParameterizedTest
    @MethodSource("beginnings")
    void beginningOfALateResponseIsNotContinuedByTheNextFailure(String beginning) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK + ScriptedEngine.LATER + beginning, FAILED);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("GET", "/read/1", "", "").endsWith("body"));
            await(() -> engine.lateWrites() == 1);
            assertNoSuccess(relay.call("GET", "/read/2", "X-Attempt: a2\r\n", ""));
            assertEquals(2, engine.requests().size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 ", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX-Seal: la"})
    void beginningOfALateResponseEndsItsConnection(String beginning) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK + ScriptedEngine.LATER + beginning, FAILED);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("GET", "/read/1", "", "").endsWith("body"));
            await(() -> engine.lateWrites() == 1);
            relay.awaitCaughtUp();
            String response = relay.call("GET", "/read/2", "X-Attempt: a2\r\n", "");
            assertTrue(response.startsWith("HTTP/1.1 500") && response.endsWith("bad"), response);
            assertEquals(2, engine.connections());
        }
    }

    /** The decoder reads these status lines too, and a line without a colon as a header without a value. */
    @ParameterizedTest
    @ValueSource(strings = {"http/1.1 500 Error", "HTTP/1.1  500 Error", "HTTP/1.1\t500 Error", "HTTP/1.1 500"})
    void failureOfUnusualSpellingBehindABeginningIsNoSuccess(String statusLine) throws Exception {
        String failed = FAILED.replace("HTTP/1.1 500 Internal Server Error", statusLine);
        for (String beginning : new String[] {
            "HTTP/1.1 200 ",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK\r\nDate: Mo",
            "HTTP/1.1 200 OK\r\nDate: Mo\r\n ",
            "HTTP/1.1 200 OK\r\nDate "
        }) {
            try (ScriptedEngine engine = new ScriptedEngine(beginning + failed);
                    RelayHarness relay = new RelayHarness(engine)) {
                assertNoSuccess(relay.call("GET", "/read/1", "", ""));
            }
        }
    }

    @Test
    void successWithoutAnIdIsNoSuccessOnANewConnectionEither() throws Exception {
        String other = "HTTP/1.1 200 OK\r\nX-Seal: late\r\nContent-Length: 4\r\n\r\nlate";
        try (ScriptedEngine engine = new ScriptedEngine(other + FAILED);
                RelayHarness relay = new RelayHarness(engine)) {
            assertNoSuccess(relay.call("GET", "/read/1", "", ""));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Via: HTTP/1.1 192.168.0.7:8080", "X-Limit: 5\r\nX-Limit: 5", "Empty:", "Spaced : value"})
    void soundResponseWithUnusualHeadersIsAnswered(String header) throws Exception {
        String sound = OK.replace("X-Seal", header + "\r\nX-Seal");
        try (ScriptedEngine engine = new ScriptedEngine(sound);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/book/1", "", "hi");
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("body"), response);
        }
    }

    @Test
    void cutBodyIsNotFilledByTheNextResponse() throws Exception {
        String cut = OK.replace("Content-Length: 4", "Content-Length: 40");
        String late = OK.replace("{id}", "earlier");
        try (ScriptedEngine engine = new ScriptedEngine(cut + ScriptedEngine.LATER + late);
                RelayHarness relay = new RelayHarness(engine)) {
            assertNoSuccess(relay.call("GET", "/read/1", "", ""));
        }
    }

    /** A caller that is told "not run", and the relay itself, would send a request again that has run. */
    @ParameterizedTest
    @MethodSource("refusalBeginnings")
    void successBehindTheBeginningOfARefusalIsNoRefusal(String beginning) throws Exception {
        try (ScriptedEngine one = new ScriptedEngine(beginning + OK);
                ScriptedEngine other = new ScriptedEngine(beginning + OK);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("POST", "/book/1", "", "hi");
            assertFalse(response.startsWith("HTTP/1.1 503"), response);
            assertFalse(response.startsWith("HTTP/1.1 4"), response);
            assertEquals(1, one.requests().size() + other.requests().size());
        }
    }

    @Test
    void bytesBehindAResponseEndItsConnection() throws Exception {
        for (String behind : new String[] {"H", ScriptedEngine.LATER + "H"}) {
            try (ScriptedEngine engine = new ScriptedEngine(OK + behind, OK);
                    RelayHarness relay = new RelayHarness(engine)) {
                assertTrue(relay.call("GET", "/read/1", "", "").endsWith("body"));
                await(() -> behind.equals("H") || engine.lateWrites() == 1);
                relay.awaitCaughtUp();
                assertTrue(relay.call("GET", "/read/2", "X-Attempt: a2\r\n", "").endsWith("body"));
                assertEquals(2, engine.connections());
            }
        }
    }

    @Test
    void soundResponsesKeepTheirConnection() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK, OK);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("GET", "/read/1", "", "").endsWith("body"));
            assertTrue(relay.call("GET", "/read/2", "X-Attempt: a2\r\n", "").endsWith("body"));
            assertEquals(1, engine.connections());
        }
    }

    private static void assertNoSuccess(String response) {
        assertTrue(response.startsWith("HTTP/1.1 "), response);
        assertFalse(response.startsWith("HTTP/1.1 2"), response);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int attempt = 0; attempt < 200 && !condition.getAsBoolean(); attempt++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertTrue(condition.getAsBoolean());
    }
}
