package org.cowslippick.standin.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.net.HostAndPort;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.entry.endpoint.Json;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Sends requests over HTTP to three joined entries and looks at answers, errors and what the application ran. */
final class WholePathTest {

    private static final String CHAT = "{\"prompt\":\"The gate is stuck.\",\"maximumAnswerTokens\":3}";
    private static final int MORE_THAN_ALLOWED_CHARACTERS = 1_100_000;

    private static DemoSite site;
    private static DemoCaller caller;

    @BeforeAll
    static void start() {
        site = new DemoSite();
        caller = new DemoCaller(DemoSettings.CALLER_CREDENTIAL);
    }

    @AfterAll
    static void stop() {
        caller.close();
        site.close();
    }

    private static HostAndPort entry(int number) {
        return site.addresses().get(number);
    }

    private static void assertRefused(ErrorKind kind, DemoCaller.Answer answer) {
        assertEquals(kind.httpStatus(), answer.status(), answer.body());
        assertEquals(
                kind.text(),
                Json.read(answer.body()).orElseThrow().path("error").asText());
        assertEquals(200, caller.send(entry(0), "chat", "urgent", CHAT).status());
    }

    @Test
    void everyEntryServesChats() {
        for (int number = 0; number < site.addresses().size(); number++) {
            DemoCaller.Answer answer = caller.send(entry(number), "chat", "urgent", CHAT);
            assertEquals(200, answer.status(), answer.body());
            assertTrue(Json.read(answer.body()).orElseThrow().path("receipt").has("kept"));
        }
    }

    @Test
    void malformedJsonIsRefused() {
        assertRefused(ErrorKind.MALFORMED_REQUEST, caller.send(entry(0), "chat", "urgent", "{"));
    }

    @Test
    void unknownServicesAndTiersAreRefused() {
        assertRefused(ErrorKind.UNKNOWN_SERVICE, caller.send(entry(0), "absent", "urgent", CHAT));
        assertRefused(ErrorKind.UNKNOWN_TIER, caller.send(entry(0), "chat", "absent", CHAT));
    }

    @Test
    void anUnknownCredentialIsRefused() {
        try (DemoCaller stranger = new DemoCaller("unknown")) {
            assertRefused(ErrorKind.UNAUTHENTICATED, stranger.send(entry(0), "chat", "urgent", CHAT));
        }
    }

    @Test
    void aBodyOverTheLimitIsRefused() {
        String prompt = "x".repeat(MORE_THAN_ALLOWED_CHARACTERS);
        assertRefused(
                ErrorKind.BODY_TOO_LARGE, caller.send(entry(0), "chat", "urgent", "{\"prompt\":\"" + prompt + "\"}"));
    }

    @Test
    void onlyAnOperatorCommitsSettingsAndFaultsAreListed() {
        String faulty = "{\"baseRevision\":1,\"ini\":\"[tier urgent]\\nrank = first\\n\"}";
        assertRefused(ErrorKind.UNAUTHENTICATED, caller.commit(entry(0), faulty));
        try (DemoCaller operator = new DemoCaller(DemoSettings.OPERATOR_CREDENTIAL)) {
            DemoCaller.Answer refused = operator.commit(entry(0), faulty);
            assertRefused(ErrorKind.SETTINGS_INVALID, refused);
            assertEquals(
                    2, Json.read(refused.body()).orElseThrow().path("faults").size(), refused.body());
        }
    }

    @Test
    void aBookingSentThreeTimesRunsOnce() {
        int before = site.application().runs().size();
        Optional<String> key = Optional.of("visit-17");
        DemoCaller.Answer first = caller.send(entry(0), "booking", "urgent", key, "{\"visit\":17}");
        DemoCaller.Answer again = caller.send(entry(0), "booking", "urgent", key, "{\"visit\":17}");
        DemoCaller.Answer elsewhere = caller.send(entry(1), "booking", "urgent", key, "{\"visit\":17}");
        assertEquals(200, first.status(), first.body());
        assertEquals(200, again.status(), again.body());
        assertEquals(
                Json.read(first.body()).orElseThrow().path("answer"),
                Json.read(again.body()).orElseThrow().path("answer"));
        assertRefused(ErrorKind.ALREADY_DISPATCHED, elsewhere);
        assertEquals(before + 1, site.application().runs().size());
    }
}
