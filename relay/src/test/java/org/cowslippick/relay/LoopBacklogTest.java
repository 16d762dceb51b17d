package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * The event loop stands still while requests and closes arrive, as after a restart with little processor time. Requests
 * waited unread in their sockets, and some of their callers have left.
 */
class LoopBacklogTest {

    private static final int CALLERS = 30;
    /** Less than the time after which a request is not sent in any case. */
    private static final Duration MEDIUM_HOLD = Duration.ofMillis(600);

    private static final Duration LONG_HOLD = Duration.ofSeconds(2);
    private static final Duration SHORT_HOLD = Duration.ofMillis(200);
    private static final long CALLER_TIMEOUT_MILLISECONDS = 1_400;
    private static final Pattern REMAINING = Pattern.compile("X-Remaining: (\\d+)");
    private static final String SOUND =
            "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";

    @Test
    void requestsWhoseCallersLeftWhileTheLoopStoodStillAreNotSent() throws Exception {
        try (ScriptedEngine engine = engine();
                RelayHarness relay = new RelayHarness(engine)) {
            Runnable release = relay.holdLoop(SHORT_HOLD);
            for (Socket caller : connectAndSend(relay)) {
                caller.close();
            }
            release.run();
            relay.awaitCaughtUp();
            assertTrue(relay.call("GET", "/look/after", "", "").startsWith("HTTP/1.1 200"));
            assertEquals(1, engine.requests().size(), engine.requests().toString());
        }
    }

    @Test
    void requestsThatWaitedTooLongAreRefusedAtOnceWithADelay() throws Exception {
        try (ScriptedEngine engine = engine();
                RelayHarness relay = new RelayHarness(engine)) {
            Runnable release = relay.holdLoop(MEDIUM_HOLD);
            List<Socket> callers = connectAndSend(relay);
            release.run();
            for (Socket caller : callers) {
                String response = RelayHarness.readAll(caller);
                assertTrue(response.startsWith("HTTP/1.1 503"), response);
                assertTrue(response.contains("retry-after: "), response);
            }
            assertEquals(0, engine.requests().size());
        }
    }

    @Test
    void instanceServesAgainWhenItsBacklogHasEnded() throws Exception {
        try (ScriptedEngine engine = engine();
                RelayHarness relay = new RelayHarness(engine)) {
            Runnable release = relay.holdLoop(LONG_HOLD);
            List<Socket> callers = connectAndSend(relay);
            release.run();
            for (Socket caller : callers) {
                RelayHarness.readAll(caller);
            }
            relay.awaitCaughtUp();
            String response = relay.call("GET", "/look/after", "", "");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
    }

    @Test
    void remainingTimeExcludesTheTimeInWhichTheRequestWasNotRead() throws Exception {
        try (ScriptedEngine engine = engine();
                RelayHarness relay = new RelayHarness(engine)) {
            Runnable release = relay.holdLoop(SHORT_HOLD);
            try (Socket caller = relay.open()) {
                RelayHarness.send(caller, "GET", "/look/1", "X-Remaining: " + CALLER_TIMEOUT_MILLISECONDS + "\r\n", "");
                release.run();
                String response = RelayHarness.readAll(caller);
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            Matcher remaining = REMAINING.matcher(engine.requests().get(0));
            assertTrue(remaining.find());
            assertTrue(
                    Long.parseLong(remaining.group(1)) <= CALLER_TIMEOUT_MILLISECONDS - SHORT_HOLD.toMillis() / 2,
                    remaining.group());
        }
    }

    private static ScriptedEngine engine() throws IOException {
        return new ScriptedEngine(Collections.nCopies(2 * CALLERS, SOUND).toArray(String[]::new));
    }

    private static List<Socket> connectAndSend(RelayHarness relay) throws IOException {
        List<Socket> callers = IntStream.range(0, CALLERS)
                .mapToObj(_number -> relay.openUnchecked())
                .toList();
        for (Socket caller : callers) {
            RelayHarness.send(caller, "GET", "/look/1", "", "");
        }
        return callers;
    }
}
