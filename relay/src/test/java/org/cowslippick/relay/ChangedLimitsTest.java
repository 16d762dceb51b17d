package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.cowslippick.core.routing.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Limits of requests that a new configuration changes, on connections that are open (DENIED). */
class ChangedLimitsTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
    private static final int RESPONSES = 10;
    private static final int LOW_HEADER_BYTES = 1_000;
    private static final int HIGH_HEADER_BYTES = 16_384;
    private static final int SMALL = 100;
    private static final int LARGE = 12_000;

    private ScriptedEngine engine;
    private RelayHarness relay;
    private Socket socket;
    private DataInputStream responses;

    @BeforeEach
    void open() throws Exception {
        engine = new ScriptedEngine(
                IntStream.range(0, RESPONSES).mapToObj(_number -> OK).toArray(String[]::new));
        relay = new RelayHarness(engine);
        limitHeaders(LOW_HEADER_BYTES);
        socket = relay.open();
        responses = new DataInputStream(socket.getInputStream());
        send(request(SMALL, ""));
        assertEquals(200, readStatus());
    }

    @AfterEach
    void close() throws Exception {
        socket.close();
        relay.close();
        engine.close();
    }

    @Test
    void raisedLimitOfHeadersReachesAnOpenConnection() throws Exception {
        limitHeaders(HIGH_HEADER_BYTES);
        send(request(LARGE, ""));
        assertEquals(200, readStatus());
    }

    @Test
    void loweredLimitOfHeadersReachesAnOpenConnection() throws Exception {
        limitHeaders(HIGH_HEADER_BYTES);
        send(request(LARGE, ""));
        assertEquals(200, readStatus());
        limitHeaders(LOW_HEADER_BYTES);
        send(request(LARGE, ""));
        assertEquals(431, readStatus());
    }

    /** The decoder is not replaced within a request, whose beginning it has read. */
    @Test
    void limitThatChangesWithinARequestReachesTheNextOne() throws Exception {
        String first = request(SMALL, "0123456789");
        send(first.substring(0, 60));
        relay.awaitCaughtUp();
        limitHeaders(HIGH_HEADER_BYTES);
        send(first.substring(60, first.length() - 5));
        relay.awaitCaughtUp();
        send(first.substring(first.length() - 5) + request(LARGE, "abc") + request(LARGE, ""));
        assertEquals(200, readStatus());
        assertEquals(200, readStatus());
        assertEquals(200, readStatus());
        assertEquals(
                "0123456789",
                engine.requests().get(1).substring(engine.requests().get(1).length() - 10));
    }

    @Test
    void limitThatChangesBehindARequestInProgressReachesTheNextOne() throws Exception {
        send(request(SMALL, "") + request(SMALL, "x"));
        limitHeaders(HIGH_HEADER_BYTES);
        send(request(LARGE, "y"));
        assertEquals(200, readStatus());
        assertEquals(200, readStatus());
        assertEquals(200, readStatus());
    }

    /** A path that the limit of heads allows was refused as malformed. */
    @Test
    void requestLineMayBeAsLongAsTheLimitOfHeaders() throws Exception {
        limitHeaders(HIGH_HEADER_BYTES);
        send(request(SMALL, "").replace("/look/1", "/look/" + "p".repeat(LARGE)));
        assertEquals(200, readStatus());
    }

    private void limitHeaders(int bytes) {
        relay.setLimits(new CallerLimits(
                bytes,
                CallerLimits.DEFAULT.maximumBodyBytes(),
                CallerLimits.DEFAULT.headerTimeout(),
                CallerLimits.DEFAULT.idleTimeout()));
    }

    private static String request(int headerBytes, String body) {
        return "POST /look/1 HTTP/1.1\r\nHost: example.org\r\nX-Key: key\r\nX-Attempt: a1\r\nX-Filling: "
                + "f".repeat(headerBytes) + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a response, and returns its status. */
    private int readStatus() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) responses.readUnsignedByte());
        }
        int status = Integer.parseInt(head.substring(9, 12));
        if (status == 200) {
            responses.readFully(new byte[4]);
        }
        return status;
    }
}
