package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that have a part of their prompts in common crash each engine that begins to answer them. */
class CrashingContentTest {

    private static final String STREAM = "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\n"
            + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\n<close>";
    private static final int ENGINES = 10;

    /** Five crashes show which part it is; three more requests may be under way by then. */
    private static final int MAXIMUM_SENT = 8;

    @Test
    void requestsWithAPartThatCrashesEnginesAreRefusedAndSoundOnesThatShareTheOtherPartsAreServed() throws Exception {
        List<ScriptedEngine> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            engines.add(new ScriptedEngine(STREAM, STREAM).withCrashOn("harmful:20"));
        }
        try (RelayHarness relay = new RelayHarness(engines.toArray(ScriptedEngine[]::new))) {
            String last = "";
            for (int number = 0; number < ENGINES - 1; number++) {
                last = relay.call("POST", "/report/" + number, parts("first:10,harmful:20,own" + number + ":30"), "x");
            }
            long sent = engines.stream()
                    .flatMap(engine -> engine.requests().stream())
                    .filter(head -> head.contains("harmful:20"))
                    .count();
            assertTrue(sent <= MAXIMUM_SENT, sent + " requests were sent to engines");
            assertTrue(last.startsWith("HTTP/1.1 503") && last.contains("retry-after: "), last);
            String sound = relay.call("POST", "/report/x", parts("first:10,other:20,own:30"), "x");
            assertEquals("HTTP/1.1 200 OK", sound.lines().findFirst().orElse(""));
        } finally {
            for (ScriptedEngine engine : engines) {
                engine.close();
            }
        }
    }

    private static String parts(String parts) {
        return "X-Parts: " + parts + "\r\n";
    }
}
