package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests on connections that an engine keeps, or says that it keeps. */
@Timeout(30)
class KeptConnectionTest {

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\n";
    private static final String OK = HEAD + "body";
    private static final String OTHER = HEAD + "next";

    @ParameterizedTest
    @CsvSource({"GET, ''", "POST, hello", "POST, ''"})
    void aRequestThatMustNotRunTwiceUsesAKeptConnection(String method, String body) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK, OTHER);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.call("GET", "/look/1", "", "");
            String response = relay.call(method, "/book/1", "X-Attempt: a2\r\n", body);
            assertTrue(response.endsWith("next"), response);
            assertEquals(1, engine.connections());
            assertTrue(
                    engine.requests().get(1).endsWith(body), engine.requests().get(1));
            assertTrue(relay.metrics().contains("cowslippick_endpoint_connections_reused_total 1.0"), relay.metrics());
        }
    }

    /** The engine would run the request, and the caller would not learn of it: the request was lost with 502. */
    @ParameterizedTest
    @ValueSource(strings = {"/book/1", "/look/2"})
    void aRequestIsNotLostOnAConnectionThatTheEngineHasDropped(String path) throws Exception {
        try (DroppingEngine engine = new DroppingEngine(OK);
                RelayHarness relay = new RelayHarness(engine.address())) {
            relay.call("GET", "/look/1", "", "");
            engine.drop();
            String response = relay.call("POST", path, "X-Attempt: a2\r\n", "hello");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertEquals(2, engine.requests().size());
            assertFalse(relay.metrics().contains("cowslippick_retries_total 1.0"), relay.metrics());
        }
    }

    /** An engine that drops connections costs a delay each time. */
    @Test
    void anEngineThatHasDroppedAConnectionGetsNewOnesForAWhile() throws Exception {
        try (DroppingEngine engine = new DroppingEngine(OK);
                RelayHarness relay = new RelayHarness(engine.address())) {
            relay.call("GET", "/look/1", "", "");
            engine.drop();
            relay.call("POST", "/book/1", "X-Attempt: a2\r\n", "");
            relay.call("POST", "/book/2", "X-Attempt: a3\r\n", "");
            assertEquals(3, engine.connections());
            assertTrue(
                    relay.metrics().contains("cowslippick_endpoint_kept_connections_dead_total 1.0"), relay.metrics());
        }
    }

    /** After the last byte the engine may have run the request: it must not be sent again. */
    @Test
    void aRequestThatWasCompletedIsNotSentAgain() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK, ScriptedEngine.RESET, OTHER);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.call("GET", "/look/1", "", "");
            String response = relay.call("POST", "/book/1", "X-Attempt: a2\r\n", "hello");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(2, engine.requests().size());
        }
    }

    /** A late second response, or the beginning of one, would be taken for that of the request. */
    @ParameterizedTest
    @ValueSource(strings = {OK, "HTTP/1.1 200 OK\r\n", "H"})
    void aConnectionWithPendingBytesIsNotUsed(String late) throws Exception {
        try (DroppingEngine engine = new DroppingEngine(OK);
                RelayHarness relay = new RelayHarness(engine.address())) {
            relay.call("GET", "/look/1", "", "");
            engine.writeBeforeNextRead(late);
            String response = relay.call("POST", "/book/1", "X-Attempt: a2\r\n", "hello");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertEquals(2, engine.connections());
            assertEquals(2, engine.requests().size());
        }
    }

    /** Other engines are served as before: without the header a connection shows nothing about its idle time. */
    @Test
    void aConnectionWithoutAnAnnouncedTimeIsNotUsed() throws Exception {
        String silent = OK.replace("Keep-Alive: timeout=5\r\n", "");
        try (ScriptedEngine engine = new ScriptedEngine(silent, silent);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.call("GET", "/look/1", "", "");
            relay.call("POST", "/book/1", "X-Attempt: a2\r\n", "hello");
            assertEquals(2, engine.connections());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection: close\r\n", "Keep-Alive: timeout=0\r\n"})
    void anEngineThatKeepsNoConnectionGetsNewOnes(String header) throws Exception {
        String closing = OK.replace("Keep-Alive: timeout=5\r\n", header);
        try (ScriptedEngine engine = new ScriptedEngine(closing, closing);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.call("GET", "/look/1", "", "");
            relay.call("GET", "/look/2", "X-Attempt: a2\r\n", "");
            assertEquals(2, engine.connections());
        }
    }

    /** The caller is told nothing, so the engine must not run its request. */
    @Test
    void aRequestWhoseCallerLeavesDuringTheHoldBackDoesNotRun() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK, OTHER, OTHER);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.call("GET", "/look/1", "", "");
            Runnable resume = relay.holdLoop(Duration.ZERO);
            Socket leaving = relay.open();
            RelayHarness.send(leaving, "POST", "/book/1", "X-Attempt: a2\r\n", "hello");
            leaving.setSoLinger(true, 0);
            leaving.close();
            resume.run();
            relay.call("GET", "/look/2", "X-Attempt: a3\r\n", "");
            relay.awaitCaughtUp();
            assertTrue(engine.requests().stream().noneMatch(request -> request.contains("/book/1")));
        }
    }
}
