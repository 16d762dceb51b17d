package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What callers get while an instance stops. */
@Timeout(30)
class GracefulStopTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\n";
    private static final String STREAM = HEAD + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
    private static final int SLOTS = 4;

    /** Such requests were sent to engines and cut when the process exited (LOST). */
    @Test
    void requestAfterTheEndOfAdmissionIsRefusedAndNotSentToAnEngine() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(HEAD + "Content-Length: 4\r\n\r\nbody");
                RelayHarness relay = new RelayHarness(engine)) {
            relay.drain();
            relay.stopAdmitting();
            String response = relay.call("POST", "/book/1", "", "");
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertTrue(response.contains("retry-after: 0.000"), response);
            assertTrue(response.contains("connection: close"), response);
            assertTrue(response.contains("entry-draining"), response);
            assertTrue(engine.requests().isEmpty());
        }
    }

    @Test
    void requestThatMayHaveRunEndsWithAnUnknownOutcomeBeforeTheExit() throws Exception {
        try (ScriptedEngine unresponsive = new ScriptedEngine();
                RelayHarness relay = new RelayHarness(unresponsive);
                Socket caller = relay.open()) {
            RelayHarness.send(caller, "POST", "/book/1", "", "");
            awaitRequests(unresponsive, 1);
            relay.drain();
            relay.refuseWaiting();
            assertEquals(1, relay.busyCount());
            relay.terminate();
            String response = RelayHarness.readAll(caller);
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }
    }

    @Test
    void requestThatWaitsForAnEngineIsRefused() throws Exception {
        try (ScriptedEngine busy = new ScriptedEngine(STREAM, STREAM, STREAM, STREAM);
                RelayHarness relay = new RelayHarness(busy);
                Socket waiting = relay.open()) {
            Socket[] running = new Socket[SLOTS];
            for (int slot = 0; slot < SLOTS; slot++) {
                running[slot] = relay.open();
                RelayHarness.send(running[slot], "POST", "/report/1", "X-Attempt: a" + slot + "\r\n", "");
            }
            awaitRequests(busy, SLOTS);
            RelayHarness.send(waiting, "POST", "/report/1", "X-Attempt: waiting\r\n", "");
            awaitBusy(relay, SLOTS + 1);
            relay.drain();
            relay.refuseWaiting();
            String response = RelayHarness.readAll(waiting);
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertEquals(SLOTS, busy.requests().size());
            for (Socket socket : running) {
                socket.close();
            }
        }
    }

    @Test
    void streamInProgressIsBrokenOffAndNeverLooksComplete() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(STREAM);
                RelayHarness relay = new RelayHarness(engine);
                Socket caller = relay.open()) {
            RelayHarness.send(caller, "POST", "/report/1", "", "");
            assertTrue(caller.getInputStream().read() >= 0);
            relay.drain();
            relay.terminate();
            String response = RelayHarness.readAll(caller);
            assertFalse(response.contains("0\r\n\r\n"), response);
        }
    }

    @Test
    void requestWhoseBodyIsIncompleteIsRefused() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine();
                RelayHarness relay = new RelayHarness(engine);
                Socket caller = relay.open()) {
            caller.getOutputStream()
                    .write("POST /book/1 HTTP/1.1\r\nHost: example.org\r\nContent-Length: 9\r\n\r\nhalf"
                            .getBytes(StandardCharsets.US_ASCII));
            awaitBusy(relay, 1);
            relay.drain();
            relay.terminate();
            String response = RelayHarness.readAll(caller);
            assertTrue(response.startsWith("HTTP/1.1 503"), response);
            assertTrue(engine.requests().isEmpty());
        }
    }

    private static void awaitRequests(ScriptedEngine engine, int count) throws InterruptedException {
        while (engine.requests().size() < count) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static void awaitBusy(RelayHarness relay, int count) throws Exception {
        while (relay.busyCount() < count) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
