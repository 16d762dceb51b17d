package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * End-to-end tests of the relay over sockets: the responses to callers and the requests to engines for each kind of
 * engine failure.
 */
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
    void forwardsAResponseAndSetsReservedHeaders() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/book/1?x=2", "X-Organisation: mallory\r\nX-Hold: h\r\n", "hello");
            assertTrue(response.startsWith("HTTP/1.1 200 OK"), response);
            assertTrue(response.endsWith("body"), response);
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

    /** A name that no header can hold as it is must neither add headers nor keep the request from being forwarded. */
    @Test
    void organisationNameOfAnyCharactersIsOneHeaderOfTheRequest() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.callWithKey("other-key", "POST", "/book/1", "hello");
            assertTrue(response.startsWith("HTTP/1.1 200 OK"), response);
            String sent =
                    new String(engine.requests().get(0).getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
            assertTrue(sent.contains("X-Organisation: Peñamellera Baja, 梅  X-Hold: 1\n"), sent);
        }
    }

    @Test
    void doesNotRetryAnAtMostOnceRequestThatMayHaveRun() throws Exception {
        try (ScriptedEngine broken = new ScriptedEngine(ScriptedEngine.RESET, OK, OK);
                RelayHarness relay = new RelayHarness(broken)) {
            String response = relay.call("POST", "/book/1", "", "hello");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(1, broken.requests().size());
        }
    }

    @Test
    void retriesAnAtMostOnceRequestThatProvablyDidNotRun() throws Exception {
        try (ScriptedEngine one = new ScriptedEngine(REFUSED);
                ScriptedEngine other = new ScriptedEngine(REFUSED);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("POST", "/book/1", "", "hello");
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertTrue(response.contains("retry-after: "), response);
            assertEquals(1, one.requests().size());
            assertEquals(1, other.requests().size());
        }
    }

    @Test
    void retriesAnIdempotentRequestAtAnotherEndpoint() throws Exception {
        try (ScriptedEngine one = new ScriptedEngine(FAILED);
                ScriptedEngine other = new ScriptedEngine(FAILED);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("GET", "/look/1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 500"), response);
            assertEquals(2, one.requests().size() + other.requests().size());
        }
    }

    @Test
    void skipsAResponseToAnotherRequest() throws Exception {
        String foreign = "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";
        try (ScriptedEngine engine = new ScriptedEngine(foreign + OK);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/book/1", "", "");
            assertTrue(response.endsWith("body"), response);
            assertFalse(response.contains("wrong"), response);
        }
    }

    @Test
    void doesNotTakeAResponseWithoutAnIdForThatOfTheSecondRequestOnAConnection() throws Exception {
        String late = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";
        try (ScriptedEngine engine = new ScriptedEngine(OK, late + OK, OK);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("GET", "/look/1", "", "").endsWith("body"));
            String response = relay.call("GET", "/look/2", "X-Attempt: a2\r\n", "");
            assertFalse(response.contains("wrong"), response);
            assertEquals(2, engine.requests().size());
        }
    }

    @Test
    void doesNotForwardASuccessWithoutASeal() throws Exception {
        String unsealed = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nContent-Length: 4\r\n\r\nbody";
        try (ScriptedEngine engine = new ScriptedEngine(unsealed);
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("POST", "/book/1", "", "").startsWith("HTTP/1.1 502"));
        }
    }

    @Test
    void resumesAnInterruptedStreamAfterTheLastCompleteEvent() throws Exception {
        String broken = STREAM + FIRST + "id: 2\nda" + ScriptedEngine.RESET;
        try (ScriptedEngine one = new ScriptedEngine(broken).withContinuation(STREAM + SECOND + ScriptedEngine.CLOSE);
                ScriptedEngine other =
                        new ScriptedEngine(broken).withContinuation(STREAM + SECOND + ScriptedEngine.CLOSE);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("POST", "/chat/1", "", "hi");
            assertEquals(1, response.split("id: 1\n", -1).length - 1, response);
            assertEquals(1, response.split("id: 2\n", -1).length - 1, response);
            assertTrue(response.endsWith("0\r\n\r\n"), response);
            assertEquals(1, one.requests().size());
            assertEquals(1, other.requests().size());
        }
    }

    @Test
    void doesNotTerminateAnInterruptedStreamAsComplete() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(STREAM + FIRST + ScriptedEngine.RESET);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/report/1", "", "hi");
            assertTrue(response.contains(FIRST), response);
            assertFalse(response.contains("0\r\n\r\n"), response);
            assertEquals(1, engine.requests().size());
        }
    }

    @Test
    void cancelsTheDispatchWhenTheCallerDisconnects() throws Exception {
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
    void respondsAfterTheTimeoutOfTheRoute() throws Exception {
        try (ScriptedEngine unresponsive = new ScriptedEngine();
                RelayHarness relay = new RelayHarness(unresponsive)) {
            assertTrue(relay.call("POST", "/book/1", "", "").startsWith("HTTP/1.1 504"));
            awaitClosed(unresponsive);
        }
    }

    @Test
    void rejectsAmbiguousLengthsAndUnknownPaths() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine();
                RelayHarness relay = new RelayHarness(engine)) {
            assertTrue(relay.call("POST", "/book/1", "Transfer-Encoding: chunked\r\n", "")
                    .startsWith("HTTP/1.1 400"));
            assertTrue(relay.call("POST", "/nothing/1", "", "").startsWith("HTTP/1.1 404"));
            assertTrue(engine.requests().isEmpty());
        }
    }

    @Test
    void servesRequestsWhileDrainingAndClosesTheConnection() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.drain();
            String response = relay.call("POST", "/book/1", "", "");
            assertTrue(response.contains("connection: close"), response);
            assertTrue(response.endsWith("body"), response);
        }
    }

    /** The bytes of such a target would reach the endpoint changed: it is decoded as ISO 8859-1 and written as UTF-8. */
    @ParameterizedTest
    @ValueSource(
            strings = {"/read/\u00e9", "/read/1?name=\u00c3\u00a9", "/read/\u0001", "/read/\u0000", "/read/\u007f"})
    void rejectsATargetWithOtherThanVisibleAsciiCharacters(String target) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(OK);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("GET", target, "", "");
            assertTrue(response.startsWith("HTTP/1.1 400"), response + engine.requests());
            assertTrue(engine.requests().isEmpty());
        }
    }

    /** A caller takes the bytes behind the head of such a response for the beginning of the next one. */
    @Test
    void aRefusedHeadRequestGetsNoBody() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine();
                RelayHarness relay = new RelayHarness(engine);
                Socket socket = relay.open()) {
            RelayHarness.send(socket, "HEAD", "/nothing/1", "Connection: keep-alive\r\n", "");
            RelayHarness.send(socket, "HEAD", "/nothing/2", "", "");
            String responses = RelayHarness.readAll(socket);
            assertEquals(2, responses.split("content-length: 50\r\n", -1).length - 1, responses);
            assertFalse(responses.contains("unknown-path"), responses);
        }
    }

    /** A faulty engine writes an earlier refusal once more on a kept connection, before it answers the next request. */
    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"})
    void earlierRefusalIsNotTakenForThatOfALaterRequest(String status) throws Exception {
        String refused = REFUSED.replace("503 Service Unavailable", status);
        for (String attempt : List.of("X-Attempt: a1\r\n", "X-Attempt: a2\r\n")) {
            try (ScriptedEngine engine = new ScriptedEngine(refused, OK, OK).withRepeatedResponses();
                    RelayHarness relay = new RelayHarness(engine)) {
                relay.call("GET", "/look/1", "X-Attempt: a1\r\n", "");
                String response = relay.call("GET", "/look/2", attempt, "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
        }
    }

    @Test
    void requestThatMustNotRunTwiceIsNeverSentOnAKeptConnection() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(REFUSED, OK).withRepeatedResponses();
                RelayHarness relay = new RelayHarness(engine)) {
            relay.call("GET", "/look/1", "", "");
            String response = relay.call("POST", "/book/1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertEquals(2, engine.requests().size());
        }
    }

    /** A caller that reads an engine's error as a refusal would send a request again that has run. */
    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"})
    void errorOfAnEngineThatMayHaveRunTheRequestIsNoRefusal(String status) throws Exception {
        String failed = FAILED.replace("500 Internal Server Error", status);
        for (String target : List.of("/book/1", "/look/1")) {
            try (ScriptedEngine one = new ScriptedEngine(failed);
                    ScriptedEngine other = new ScriptedEngine(failed);
                    RelayHarness relay = new RelayHarness(one, other)) {
                String response = relay.call("POST", target, "", "hello");
                assertTrue(response.startsWith("HTTP/1.1 502"), response);
                assertFalse(response.contains("X-Seal"), response);
                assertFalse(response.contains("retry-after"), response);
            }
        }
    }

    private static void awaitClosed(ScriptedEngine engine) throws InterruptedException {
        for (int attempt = 0; attempt < 200 && engine.closedByRelay() == 0; attempt++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertEquals(1, engine.closedByRelay());
    }
}
