package org.cowslippick.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** What a scrape shows after requests of each outcome. */
class RelayMetricsTest {

    private static final String SOUND =
            "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
    private static final String FAILED = SOUND.replace("200 OK", "500 Internal Server Error");
    private static final String REFUSED = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt: {id}\r\nX-Not-Run: 1\r\n"
            + "X-Leaving: 1\r\nContent-Length: 0\r\n\r\n";

    @Test
    void scrapeShowsEachOutcomeByRankAndKind() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(SOUND, SOUND, FAILED, ScriptedEngine.RESET, REFUSED);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.call("GET", "/look/1", "", "");
            relay.call("POST", "/book/1", "", "");
            relay.call("POST", "/book/2", "", "");
            relay.call("POST", "/book/3", "", "");
            relay.call("POST", "/book/4", "", "");
            relay.call("POST", "/book/5", "", "");
            relay.call("GET", "/nothing/1", "", "");
            String text = relay.metrics();
            assertShows(text, "cowslippick_requests_total{kind=\"idempotent\",rank=\"1\",result=\"answered\"} 1.0");
            assertShows(text, "cowslippick_requests_total{kind=\"at_most_once\",rank=\"1\",result=\"answered\"} 1.0");
            assertShows(
                    text,
                    "cowslippick_requests_total{kind=\"at_most_once\",rank=\"1\",result=\"endpoint-answered\"} 1.0");
            assertShows(
                    text,
                    "cowslippick_requests_total{kind=\"at_most_once\",rank=\"1\",result=\"endpoint-failed\"} 1.0");
            assertShows(
                    text, "cowslippick_requests_total{kind=\"at_most_once\",rank=\"1\",result=\"no-endpoint\"} 2.0");
            assertShows(text, "cowslippick_arrivals_refused_total{result=\"unknown-path\"} 1.0");
            assertShows(text, "cowslippick_endpoint_connections_lost_total 1.0");
            assertShows(text, "cowslippick_endpoint_refusals_total 1.0");
            assertShows(text, "cowslippick_endpoint_leaving_notices_total 1.0");
            assertShows(
                    text, "cowslippick_request_seconds_count{kind=\"idempotent\",rank=\"1\",result=\"answered\"} 1");
            assertShows(
                    text,
                    "cowslippick_request_seconds_bucket{kind=\"idempotent\",rank=\"1\",result=\"answered\",le=\"+Inf\"} 1");
        }
    }

    /** The second prompt begins with a part of the first one, which its only engine has read. */
    @Test
    void scrapeShowsThePromptTokensThatEnginesWereExpectedToKeep() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(SOUND, SOUND, SOUND);
                RelayHarness relay = new RelayHarness(engine)) {
            relay.call("GET", "/look/1", "X-Tokens: 6000,0\r\nX-Parts: a1:5000,b2:1000\r\n", "");
            relay.call("GET", "/look/2", "X-Tokens: 6000,0\r\nX-Parts: a1:5000,c3:1000\r\n", "");
            relay.call("GET", "/look/3", "X-Tokens: 6000,0\r\n", "");
            String text = relay.metrics();
            assertShows(text, "cowslippick_prompt_tokens_total 18000.0");
            assertShows(text, "cowslippick_prompt_tokens_expected_kept_total 5000.0");
        }
    }

    private static void assertShows(String text, String line) {
        assertTrue(
                Pattern.compile("^" + Pattern.quote(line) + "$", Pattern.MULTILINE)
                        .matcher(text)
                        .find(),
                () -> line + " in\n" + text);
    }
}
