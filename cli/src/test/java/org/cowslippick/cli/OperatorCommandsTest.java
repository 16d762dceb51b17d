package org.cowslippick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.world.OrganisationName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class OperatorCommandsTest {

    private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";
    private static final String INI =
            """
            [tier urgent]
            rank = 0
            weight = 8
            [service chat]
            pool = models
            kind = model
            dispatch = dispatch-once
            [organisation group]
            tiers = urgent
            deadline = 20s
            """;

    private FakeEntry entry;

    @BeforeEach
    void startEntry() throws Exception {
        entry = new FakeEntry(INI);
    }

    @AfterEach
    void stopEntry() {
        entry.close();
    }

    @Test
    void createsOrganisationAndKeepsOnlyTheHashOfItsCredential() throws Exception {
        CommandRun run = run("organisation", "create", "branch", "parent=group", "--json");
        assertEquals(ExitCode.OK, run.exitCode());
        JsonNode json = new ObjectMapper().readTree(run.output());
        String credential = json.path("credential").asText();
        assertFalse(entry.ini().contains(credential), entry.ini());
        SettingsTree tree = SettingsTree.parse(entry.ini()).get();
        assertEquals(
                new OrganisationName("branch"), tree.organisation(credential).orElseThrow());
        assertEquals(2, json.path("revision").asInt());
    }

    @Test
    void setsOneKeyAndListsTheObjects() {
        CommandRun set = run("tier", "set", "urgent", "weight=9", "first-token=300ms");
        assertEquals(
                "[tier urgent] weight: 8 -> 9\n[tier urgent] first-token: (absent) -> 300ms\nrevision 2", set.output());
        assertEquals(
                "name    rank  weight  first-token\nurgent  0     9       300ms",
                run("tier", "list").output());
        assertEquals(
                "nothing to change, revision 2",
                run("tier", "set", "urgent", "weight=9").output());
    }

    @Test
    void showsAndRemovesAnOrganisationWithItsServices() {
        run("settings", "set", "organisation group service chat", "deadline=5s");
        assertTrue(run("organisation", "show", "group")
                .output()
                .contains("organisation group service chat  deadline  5s"));
        assertEquals(ExitCode.OK, run("organisation", "remove", "group").exitCode());
        assertFalse(entry.ini().contains("group"), entry.ini());
    }

    @Test
    void explainsWhereEachValueComesFrom() {
        String explained = run("settings", "explain", "group", "chat", "urgent").output();
        assertTrue(explained.contains("deadline        20s     [organisation group]"), explained);
        assertTrue(explained.contains("first-token     530ms   (built in)"), explained);
    }

    @Test
    void namesTheSettingAndTheValueThatIsRefused() {
        CommandRun run = run("tier", "set", "urgent", "weight=heavy");
        assertEquals(ExitCode.REFUSED, run.exitCode());
        assertEquals("cowslippick: [tier urgent] weight: \"heavy\" is not a positive number", run.errors());
        assertEquals(ExitCode.REFUSED, run("tier", "create", "urgent", "rank=1").exitCode());
        assertTrue(run("tier", "remove", "urgent").errors().contains("there is no [tier urgent]"));
        assertEquals(1, entry.revision());
    }

    @Test
    void namesTheSettingsThatChangedOnConflict() {
        entry.concurrentCommit = INI.replace("20s", "30s");
        CommandRun run = run("tier", "set", "urgent", "weight=9");
        assertEquals(ExitCode.CONFLICT, run.exitCode());
        assertTrue(run.errors().contains("changed meanwhile: [organisation group] deadline: 20s -> 30s"), run.errors());
        assertFalse(entry.ini().contains("weight = 9"), entry.ini());
    }

    @Test
    void readsBackACommitWhoseResponseWasLost() {
        entry.losesCommitResponses = true;
        assertEquals(ExitCode.OK, run("tier", "set", "urgent", "weight=9").exitCode());
        entry.discardsCommits = true;
        assertEquals(
                ExitCode.OUTCOME_UNKNOWN,
                run("tier", "set", "urgent", "weight=7").exitCode());
    }

    @Test
    void appliesAFileOnlyOverTheRevisionThatItWasMadeFrom(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("settings.ini");
        Files.writeString(file, run("settings", "get").output().replace("20s", "25s"));
        assertEquals(
                ExitCode.CONFLICT,
                run("settings", "apply", file.toString(), "--base", "7").exitCode());
        assertEquals(
                "[organisation group] deadline: 20s -> 25s\nrevision 2",
                run("settings", "apply", file.toString(), "--base", "1").output());
        Files.writeString(file, "[tier urgent]\nrank = none\n[teir]\n");
        CommandRun refused = run("settings", "apply", file.toString());
        assertEquals(ExitCode.REFUSED, refused.exitCode());
        assertEquals(3, refused.errors().lines().count(), refused.errors());
    }

    @Test
    void triesTheNextEntryWhenOneIsUnreachable() {
        ImmutableMap<String, String> environment = ImmutableMap.of("COWSLIPPICK_CREDENTIAL", FakeEntry.CREDENTIAL);
        assertEquals(
                ExitCode.OK,
                CommandRun.of(environment, "tier", "list", "--entry", UNREACHABLE_ADDRESS + "," + entry.address())
                        .exitCode());
        assertEquals(
                ExitCode.UNREACHABLE,
                CommandRun.of(environment, "tier", "list", "--entry", UNREACHABLE_ADDRESS)
                        .exitCode());
        CommandRun status =
                CommandRun.of(environment, "status", "--entry", UNREACHABLE_ADDRESS + "," + entry.address());
        assertTrue(status.output().contains("missing: entry 127.0.0.1:1 cannot be reached"), status.output());
    }

    @Test
    void refusesAWrongCredential() {
        CommandRun run = CommandRun.of(ImmutableMap.of(), "tier", "list", "--entry", entry.address());
        assertEquals(ExitCode.REFUSED, run.exitCode());
        assertTrue(run.errors().contains("unauthenticated"), run.errors());
    }

    @Test
    void mergesTimelinesInCausalOrder() throws Exception {
        try (FakeEntry second = new FakeEntry(INI)) {
            entry.timeline = timeline(event("a", 1, "request-queued"), event("a", 5, "request-answered"));
            second.timeline = timeline(event("b", 3, "request-granted"));
            CommandRun run = CommandRun.of(
                    environment(), "timeline", "--request", "x y", "--entry", entry.address() + "," + second.address());
            assertEquals(
                    "instance  logicalTime  kind\n"
                            + "a         1            request-queued\n"
                            + "b         3            request-granted\n"
                            + "a         5            request-answered",
                    run.output());
            assertTrue(
                    entry.receivedRequests.contains("GET /v1/timeline?request=x+y"), entry.receivedRequests.toString());
        }
    }

    @Test
    void drainsExactlyOneEntry() {
        assertEquals(ExitCode.OK, run("drain").exitCode());
        assertTrue(entry.receivedRequests.contains("POST /v1/drain"));
        assertEquals(
                ExitCode.USAGE,
                CommandRun.of(environment(), "drain", "--entry", entry.address() + "," + UNREACHABLE_ADDRESS)
                        .exitCode());
    }

    private CommandRun run(String... arguments) {
        return CommandRun.of(environment(), arguments);
    }

    private ImmutableMap<String, String> environment() {
        return ImmutableMap.of("COWSLIPPICK_CREDENTIAL", FakeEntry.CREDENTIAL, "COWSLIPPICK_ENTRY", entry.address());
    }

    private static String timeline(String... events) {
        return "{\"events\": [" + String.join(",", events) + "]}";
    }

    private static String event(String instance, int logicalTime, String kind) {
        return "{\"instance\": \"" + instance + "\", \"logicalTime\": " + logicalTime + ", \"kind\": \"" + kind + "\"}";
    }
}
