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

/** Sends requests over HTTP to a fleet of three entries and checks answers, errors and application executions. */
final class EndToEndTest {

    private static final String CHAT = "{\"prompt\":\"The gate is stuck.\",\"maximumAnswerTokens\":3}";
    private static final int OVERSIZED_PROMPT_CHARACTERS = 1_100_000;

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
        return site.entryAddresses().get(number);
    }

    private static void assertRefused(ErrorKind kind, DemoCaller.Response response) {
        assertEquals(kind.httpStatus(), response.status(), response.body());
        assertEquals(
                kind.text(),
                Json.read(response.body()).orElseThrow().path("error").asText());
        assertEquals(200, caller.send(entry(0), "chat", "urgent", CHAT).status());
    }

    @Test
    void everyEntryServesChats() {
        for (int number = 0; number < site.entryAddresses().size(); number++) {
            DemoCaller.Response response = caller.send(entry(number), "chat", "urgent", CHAT);
            assertEquals(200, response.status(), response.body());
            assertTrue(Json.read(response.body()).orElseThrow().path("receipt").has("kept"));
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
        try (DemoCaller unauthenticated = new DemoCaller("unknown")) {
            assertRefused(ErrorKind.UNAUTHENTICATED, unauthenticated.send(entry(0), "chat", "urgent", CHAT));
        }
    }

    @Test
    void aBodyOverTheLimitIsRefused() {
        String prompt = "x".repeat(OVERSIZED_PROMPT_CHARACTERS);
        assertRefused(
                ErrorKind.BODY_TOO_LARGE, caller.send(entry(0), "chat", "urgent", "{\"prompt\":\"" + prompt + "\"}"));
    }

    @Test
    void onlyAnOperatorCommitsSettingsAndFaultsAreListed() {
        String faulty = "{\"baseRevision\":1,\"ini\":\"[tier urgent]\\nrank = first\\n\"}";
        assertRefused(ErrorKind.UNAUTHENTICATED, caller.commit(entry(0), faulty));
        try (DemoCaller operator = new DemoCaller(DemoSettings.OPERATOR_CREDENTIAL)) {
            DemoCaller.Response refused = operator.commit(entry(0), faulty);
            assertRefused(ErrorKind.SETTINGS_INVALID, refused);
            assertEquals(
                    2, Json.read(refused.body()).orElseThrow().path("faults").size(), refused.body());
        }
    }

    @Test
    void aBookingSentThreeTimesIsExecutedOnce() {
        int executionsBefore = site.application().executions().size();
        Optional<String> key = Optional.of("visit-17");
        DemoCaller.Response first = caller.send(entry(0), "booking", "urgent", key, "{\"visit\":17}");
        DemoCaller.Response repeated = caller.send(entry(0), "booking", "urgent", key, "{\"visit\":17}");
        DemoCaller.Response throughOtherEntry = caller.send(entry(1), "booking", "urgent", key, "{\"visit\":17}");
        assertEquals(200, first.status(), first.body());
        assertEquals(200, repeated.status(), repeated.body());
        assertEquals(
                Json.read(first.body()).orElseThrow().path("answer"),
                Json.read(repeated.body()).orElseThrow().path("answer"));
        assertRefused(ErrorKind.ALREADY_DISPATCHED, throughOtherEntry);
        assertEquals(executionsBefore + 1, site.application().executions().size());
    }
}
