package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that stop anywhere within the head of a request and then send another one, and heads with repeated headers. */
class JoinedRequestsTest {

    private static final String OK =
            "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
    private static final String SECOND =
            "GET /read/2 HTTP/1.1\r\nHost: example.org\r\nX-Key: key\r\nX-Attempt: a2\r\nConnection: close\r\n\r\n";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /read/1 HTTP/1.1\r\nHost: example.org\r\nX-Key: key\r\nX-Attempt: a1\r\nAccept: text/html\r\n\r\n",
                "POST /read/1 HTTP/1.1\r\nAccept: text/html\r\nX-Key: key\r\nX-Attempt: a1\r\nHost: example.org\r\n\r\n"
            })
    void headThatAnotherRequestContinuesIsRejected(String first) throws Exception {
        String[] responses = Collections.nCopies(first.length(), OK).toArray(new String[0]);
        try (ScriptedEngine engine = new ScriptedEngine(responses);
                RelayHarness relay = new RelayHarness(engine)) {
            assertEquals(ImmutableList.of(), acceptedBeginnings(relay, first));
            assertEquals(List.of(), engine.requests());
        }
    }

    /** The head of the second request would be the trailers of the first, whose response its sender would get. */
    @Test
    void chunkedBodyThatAnotherRequestContinuesIsRejected() throws Exception {
        String head = "POST /read/1 HTTP/1.1\r\nHost: example.org\r\nX-Key: key\r\nX-Attempt: a1\r\n"
                + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        String body = "2;x=\"y\"\r\nhi\r\n0\r\nX-Checksum: 12\r\n\r\n";
        String[] responses = Collections.nCopies(body.length(), OK).toArray(new String[0]);
        try (ScriptedEngine engine = new ScriptedEngine(responses);
                RelayHarness relay = new RelayHarness(engine)) {
            ImmutableList<String> accepted = IntStream.range(0, body.length())
                    .mapToObj(length -> body.substring(0, length))
                    .filter(beginning -> !send(relay, head + beginning + SECOND).startsWith("HTTP/1.1 400"))
                    .collect(ImmutableList.toImmutableList());
            assertEquals(ImmutableList.of(), accepted);
            assertEquals(List.of(), engine.requests());
            assertTrue(send(relay, head + body).startsWith("HTTP/1.1 200"));
        }
    }

    /** Such a head is ambiguous: the relay reads the first value, and an endpoint may read the last. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Host: other.org",
                "Host: example.org",
                "X-Attempt: a2",
                "X-Attempt: a1",
                "X-Key: other",
                "X-Key: key",
                "x-remaining: 1000",
                "X-Tokens: 1,2",
                "X-Parts: a:1",
                "X-Hint: 4"
            })
    void repeatedHeaderOnWhichTheRelayDecidesIsRejected(String header) throws Exception {
        String headers = "X-Attempt: a1\r\nX-Remaining: 1200\r\nX-Tokens: 1,2\r\nX-Parts: a:1\r\nX-Hint: 2\r\n" + header
                + "\r\n";
        try (ScriptedEngine engine = new ScriptedEngine(OK);
                RelayHarness relay = new RelayHarness(engine)) {
            String response = relay.call("GET", "/read/1", headers, "");
            assertTrue(response.startsWith("HTTP/1.1 400"), response);
            assertEquals(List.of(), engine.requests());
        }
    }

    @Test
    void otherRepeatedHeadersAndMethodsAreForwarded() throws Exception {
        String headers = "Accept: a\r\nAccept: b\r\nCookie: c\r\nCookie: d\r\nVia: HTTP/1.1 one\r\n"
                + "X-Original-Request: GET /read/0 HTTP/1.1\r\n";
        for (String method : List.of("GET", "PROPPATCH", "PURGE")) {
            try (ScriptedEngine engine = new ScriptedEngine(OK);
                    RelayHarness relay = new RelayHarness(engine)) {
                String response = relay.call(method, "/read/1", headers, "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
                String sent = engine.requests().get(0);
                assertTrue(sent.startsWith(method + " /read/1 HTTP/1.1\n"), sent);
                assertTrue(sent.contains("Cookie: c\nCookie: d\n"), sent);
            }
        }
    }

    /** The beginnings of a request behind which another one is not rejected. */
    private static ImmutableList<String> acceptedBeginnings(RelayHarness relay, String first) {
        return IntStream.range(1, first.length())
                .mapToObj(length -> first.substring(0, length))
                .filter(beginning -> !send(relay, beginning + SECOND).startsWith("HTTP/1.1 400"))
                .collect(ImmutableList.toImmutableList());
    }

    private static String send(RelayHarness relay, String bytes) {
        try (Socket socket = relay.openUnchecked()) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return RelayHarness.readAll(socket);
        } catch (IOException failure) {
            return failure.toString();
        }
    }
}
