package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** An engine responds with a status that belongs to no class of HTTP; a caller cannot tell what it means. */
@Timeout(30)
class ResponseStatusTest {

    private static final String END = "Content-Length: 4\r\n\r\nodd!";

    @ParameterizedTest
    @MethodSource("oddHeads")
    void aRequestThatMustNotRunTwiceFailsWithAnUnknownOutcome(String head) throws Exception {
        try (ScriptedEngine one = new ScriptedEngine(head + END);
                ScriptedEngine other = new ScriptedEngine(head + END);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("POST", "/book/1", "", "hello");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(1, one.requests().size() + other.requests().size());
        }
    }

    @ParameterizedTest
    @MethodSource("oddHeads")
    void aRequestThatMayBeRepeatedIsRetried(String head) throws Exception {
        try (ScriptedEngine one = new ScriptedEngine(head + END);
                ScriptedEngine other = new ScriptedEngine(head + END);
                RelayHarness relay = new RelayHarness(one, other)) {
            String response = relay.call("GET", "/look/1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
            assertEquals(1, one.requests().size());
            assertEquals(1, other.requests().size());
        }
    }

    @ParameterizedTest
    @MethodSource("oddHeads")
    void aStreamFails(String head) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(head + "Content-Type: text/event-stream\r\n" + END);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/report/1", "", "hello");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }
    }

    /** The word of such a response that the request has not run is not trusted either. */
    @ParameterizedTest
    @MethodSource("oddHeads")
    void aRefusalIsNotTrusted(String head) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(head + "X-Not-Run: 1\r\n" + END);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("POST", "/book/1", "", "hello");
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }
    }

    private static Stream<Arguments> oddHeads() {
        return Stream.of("000", "099", "600", "999")
                .flatMap(status -> Stream.of("", "X-Attempt: {id}\r\n").flatMap(id -> Stream.of("", "X-Seal: s\r\n")
                        .map(seal -> Arguments.of("HTTP/1.1 " + status + " Odd\r\n" + id + seal))));
    }
}
