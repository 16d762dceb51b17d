package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Collections;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An engine says in a response that it leaves, or refuses a request and asks for a pause. */
class EndpointNoticeTest {

    private static final int REQUESTS = 20;
    private static final String SOUND =
            "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
    private static final String LEAVING = SOUND.replace("X-Seal: s", "X-Seal: s\r\nX-Leaving: 1");
    private static final String REFUSED =
            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String REFUSED_AND_LEAVING = REFUSED.replace("X-Not-Run: 1", "X-Not-Run: 1\r\nX-Leaving: 1");
    private static final String STREAM = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nX-Leaving: 1\r\n"
            + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n";

    @ParameterizedTest
    @MethodSource("leavingResponses")
    void engineThatSaidThatItLeavesGetsNoFurtherRequest(String response) throws Exception {
        try (ScriptedEngine leaving = engine(response);
                ScriptedEngine other = engine(SOUND);
                RelayHarness relay = new RelayHarness(other, leaving)) {
            callUntilSent(relay, leaving);
            int sent = leaving.requests().size();
            assertAllAnswered(relay);
            assertEquals(sent, leaving.requests().size());
        }
    }

    @Test
    void headOfAStreamIsEnoughToKnowThatAnEngineLeaves() throws Exception {
        try (ScriptedEngine leaving = engine(STREAM);
                ScriptedEngine other = engine(SOUND);
                RelayHarness relay = new RelayHarness(other, leaving);
                Socket first = relay.open();
                Socket second = relay.open()) {
            // Of two requests at the same time each engine gets one.
            RelayHarness.send(first, "POST", "/report/1", "", "hi");
            assertTrue(first.getInputStream().read() >= 0);
            RelayHarness.send(second, "POST", "/report/2", "", "hi");
            assertTrue(second.getInputStream().read() >= 0);
            assertAllAnswered(relay);
            assertEquals(1, leaving.requests().size());
        }
    }

    @Test
    void callersAreRefusedAtOnceWhenTheOnlyEngineLeaves() throws Exception {
        try (ScriptedEngine leaving = engine(LEAVING);
                RelayHarness relay = new RelayHarness(leaving)) {
            assertTrue(relay.call("GET", "/look/1", "", "").startsWith("HTTP/1.1 200"));
            String refusal = relay.call("GET", "/look/2", "", "");
            assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            assertTrue(refusal.contains("retry-after: "), refusal);
            assertEquals(1, leaving.requests().size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"30", "2.5", "1e9"})
    void engineThatAskedForAPauseGetsNoRequestBeforeItsEnd(String seconds) throws Exception {
        try (ScriptedEngine pausing = engine(pausing(seconds));
                ScriptedEngine other = engine(SOUND);
                RelayHarness relay = new RelayHarness(other, pausing)) {
            callUntilSent(relay, pausing);
            int sent = pausing.requests().size();
            assertAllAnswered(relay);
            assertEquals(sent, pausing.requests().size());
        }
    }

    @Test
    void callersAreRefusedAtOnceWithTheDelayWhenAllEnginesAskForAPause() throws Exception {
        try (ScriptedEngine pausing = engine(pausing("30"));
                RelayHarness relay = new RelayHarness(pausing)) {
            relay.call("POST", "/book/1", "", "");
            String refusal = relay.call("POST", "/book/2", "", "");
            assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            assertTrue(refusal.contains("retry-after: 29.") || refusal.contains("retry-after: 30."), refusal);
            assertEquals(1, pausing.requests().size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"soon", "-3", "NaN", "Infinity", "", "0"})
    void pauseThatIsNoDurationIsIgnored(String seconds) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(pausing(seconds), SOUND, SOUND);
                ScriptedEngine other = new ScriptedEngine(pausing(seconds), SOUND, SOUND);
                RelayHarness relay = new RelayHarness(engine, other)) {
            relay.call("GET", "/look/1", "", "");
            String response = relay.call("GET", "/look/2", "", "");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
    }

    private static Stream<String> leavingResponses() {
        return Stream.of(LEAVING, REFUSED_AND_LEAVING);
    }

    private static String pausing(String seconds) {
        return REFUSED.replace("X-Not-Run: 1", "X-Not-Run: 1\r\nRetry-After: " + seconds);
    }

    private static ScriptedEngine engine(String response) throws IOException {
        return new ScriptedEngine(Collections.nCopies(3 * REQUESTS, response).toArray(String[]::new));
    }

    /** The first requests go to either engine. */
    private static void callUntilSent(RelayHarness relay, ScriptedEngine engine) throws IOException {
        for (int number = 0; number < REQUESTS && engine.requests().isEmpty(); number++) {
            relay.call("GET", "/look/first-" + number, "", "");
        }
        assertEquals(1, engine.requests().size());
    }

    private static void assertAllAnswered(RelayHarness relay) throws IOException {
        for (int number = 0; number < REQUESTS; number++) {
            String response = relay.call("GET", "/look/" + number, "", "");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
    }
}
