package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The whole relay over sockets: what callers get, and what engines are sent, when engines fail in each way. */
class RelayTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
    private static final String REFUSED =
            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String FAILED =
            "HTTP/1.1 500 Internal Server Error\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad";
    private static final String STREAM = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\n"
            + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";

    @Test
    void passesAnAnswerOnAndSetsItsOwnHeaders() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK);
                RelayHarness relay = new RelayHarness(engine)) {
            String answer = relay.call("POST", "/book/1?x=2", "X-Organisation: mallory\r\nX-Hold: h\r\n", "hello");
            assertTrue(answer.startsWith("HTTP/1.1 200 OK"), answer);
            assertTrue(answer.endsWith("body"), answer);
            String sent = engine.requests().get(0);
            assertTrue(sent.startsWith("POST /book/1?x=2 HTTP/1.1\n"), sent);
            assertTrue(sent.contains("X-Organisation: portalia\n"), sent);
            assertTrue(sent.contains("X-Expect: engine-0\n"), sent);
            assertTrue(sent.endsWith("hello"), sent);
            assertFalse(sent.contains("mallory"), sent);
            assertFalse(sent.contains("X-Key"), sent);
            assertFalse(sent.contains("X-Hold"), sent);
        }
    }

    @Test
    void neverSendsAnAtMostOnceRequestAgainAfterItMayHaveRun() throws Exception {
        try (ScriptedEngine broken = new ScriptedEngine(ScriptedEngine.RESET, OK, OK);
                RelayHarness relay = new RelayHarness(broken)) {
            String answer = relay.call("POST", "/book/1", "", "hello");
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            assertEquals(1, broken.requests().size());
        }
    }

    @Test
    void sendsAnAtMostOnceRequestOnAfterProofThatItDidNotRun() throws Exception {
        try (ScriptedEngine one = new ScriptedEngine(REFUSED);
                ScriptedEngine other = new ScriptedEngine(REFUSED);
                RelayHarness relay = new RelayHarness(one, other)) {
            String answer = relay.call("POST", "/book/1", "", "hello");
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("retry-after: "), answer);
            assertEquals(1, one.requests().size());
            assertEquals(1, other.requests().size());
        }
    }

    @Test
    void repeatsAnIdempotentRequestAtAnotherEndpoint() throws Exception {
        try (ScriptedEngine one = new ScriptedEngine(FAILED);
                ScriptedEngine other = new ScriptedEngine(FAILED);
                RelayHarness relay = new RelayHarness(one, other)) {
            String answer = relay.call("GET", "/look/1", "", "");
            assertTrue(answer.startsWith("HTTP/1.1 500"), answer);
            assertEquals(2, one.requests().size() + other.requests().size());
        }
    }

    @Test
    void skipsAnAnswerThatBelongsToAnotherRequest() throws Exception {
        String foreign = "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";
        try (ScriptedEngine engine = new ScriptedEngine(foreign + OK);
                RelayHarness relay = new RelayHarness(engine)) {
            String answer = relay.call("POST", "/book/1", "", "");
            assertTrue(answer.endsWith("body"), answer);
            assertFalse(answer.contains("wrong"), answer);
        }
    }

    @Test
    void doesNotPassOnASuccessWithoutASeal() throws Exception {
        String unsealed = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nContent-Length: 4\r\n\r\nbody";
        try (ScriptedEngine engine = new ScriptedEngine(unsealed);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("POST", "/book/1", "", "").startsWith("HTTP/1.1 502"));
        }
    }

    @Test
    void goesOnWithABrokenStreamFromTheLastWholeEvent() throws Exception {
        String broken = STREAM + FIRST + "id: 2\nda" + ScriptedEngine.RESET;
        try (ScriptedEngine one = new ScriptedEngine(broken).continuing(STREAM + SECOND + ScriptedEngine.CLOSE);
                ScriptedEngine other = new ScriptedEngine(broken).continuing(STREAM + SECOND + ScriptedEngine.CLOSE);
                RelayHarness relay = new RelayHarness(one, other)) {
            String answer = relay.call("POST", "/chat/1", "", "hi");
            assertEquals(1, answer.split("id: 1\n", -1).length - 1, answer);
            assertEquals(1, answer.split("id: 2\n", -1).length - 1, answer);
            assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            assertEquals(1, one.requests().size());
            assertEquals(1, other.requests().size());
        }
    }

    @Test
    void doesNotMakeABrokenStreamLookWhole() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(STREAM + FIRST + ScriptedEngine.RESET);
                RelayHarness relay = new RelayHarness(engine)) {
            String answer = relay.call("POST", "/report/1", "", "hi");
            assertTrue(answer.contains(FIRST), answer);
            assertFalse(answer.contains("0\r\n\r\n"), answer);
            assertEquals(1, engine.requests().size());
        }
    }

    @Test
    void cancelsAtTheEngineWhenTheCallerLeaves() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(STREAM + FIRST);
                RelayHarness relay = new RelayHarness(engine)) {
            try (Socket socket = relay.open()) {
                RelayHarness.send(socket, "POST", "/report/1", "", "hi");
                assertTrue(socket.getInputStream().read() >= 0);
            }
            awaitClosed(engine);
        }
    }

    @Test
    void answersAtTheRoutesTimeout() throws Exception {
        try (ScriptedEngine mute = new ScriptedEngine();
                RelayHarness relay = new RelayHarness(mute)) {
            assertTrue(relay.call("POST", "/book/1", "", "").startsWith("HTTP/1.1 504"));
            awaitClosed(mute);
        }
    }

    @Test
    void refusesAmbiguousLengthsAndUnknownCredentials() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine();
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("POST", "/book/1", "Transfer-Encoding: chunked\r\n", "")
                    .startsWith("HTTP/1.1 400"));
            assertTrue(relay.call("POST", "/nothing/1", "", "").startsWith("HTTP/1.1 404"));
            assertTrue(engine.requests().isEmpty());
        }
    }

    @Test
    void servesWhatArrivesWhileItDrainsAndClosesTheConnection() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.drain();
            String answer = relay.call("POST", "/book/1", "", "");
            assertTrue(answer.contains("connection: close"), answer);
            assertTrue(answer.endsWith("body"), answer);
        }
    }

    private static void awaitClosed(ScriptedEngine engine) throws InterruptedException {
        for (int attempt = 0; attempt < 200 && engine.closedByRelay() == 0; attempt++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(1, engine.closedByRelay());
    }
}
