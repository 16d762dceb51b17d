package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** An engine names the number of requests a second that it accepts, and must not get many more. */
class EndpointRateLimitTest {

    private static final int REQUESTS = 60;
    private static final int CALLERS = 7;

    /** One and a half times one request a second for four seconds, and five more. */
    private static final int MAXIMUM_SENT = 11;

    private static final String SOUND =
            "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
    private static final String LIMITED = SOUND.replace("X-Seal: s\r\n", "X-Seal: s\r\nX-Limit: 1\r\n");

    @Test
    void engineThatNamesALimitGetsNoMoreThanItAllows() throws Exception {
        try (ScriptedEngine limited = engine(LIMITED);
                ScriptedEngine other = engine(SOUND);
                RelayHarness relay = new RelayHarness(limited, other)) {
            callConcurrently(relay);
            assertTrue(
                    limited.requests().size() <= MAXIMUM_SENT,
                    limited.requests().size() + " requests were sent");
            assertEquals(REQUESTS, limited.requests().size() + other.requests().size());
        }
    }

    /** Sends more requests at a time than the other engine has slots. */
    private static void callConcurrently(RelayHarness relay) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try {
            List<Callable<String>> calls = IntStream.range(0, REQUESTS)
                    .mapToObj(number -> (Callable<String>) () -> relay.call("GET", "/look/" + number, "", ""))
                    .toList();
            for (Future<String> response : callers.invokeAll(calls)) {
                assertTrue(response.get().startsWith("HTTP/1.1 200"), response.get());
            }
        } finally {
            callers.shutdownNow();
        }
    }

    private static ScriptedEngine engine(String response) throws Exception {
        return new ScriptedEngine(Collections.nCopies(REQUESTS, response).toArray(String[]::new));
    }

    @Test
    void limitEndsWhenTheEngineStopsNamingIt() throws Exception {
        try (ScriptedEngine limited = new ScriptedEngine(limitedThenSound());
                RelayHarness relay = new RelayHarness(limited)) {
            for (int number = 0; number < REQUESTS; number++) {
                String response = relay.call("GET", "/look/" + number, "", "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
        }
    }

    private static String[] limitedThenSound() {
        List<String> responses = new ArrayList<>(Collections.nCopies(REQUESTS, SOUND));
        responses.set(0, LIMITED.replace("X-Limit: 1", "X-Limit: 4"));
        return responses.toArray(String[]::new);
    }

    @Test
    void limitThatIsNoNumberIsIgnored() throws Exception {
        try (ScriptedEngine engine = engine(LIMITED.replace("X-Limit: 1", "X-Limit: few"));
                RelayHarness relay = new RelayHarness(engine)) {
            for (int number = 0; number < REQUESTS; number++) {
                String response = relay.call("GET", "/look/" + number, "", "");
                assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
        }
    }
}
