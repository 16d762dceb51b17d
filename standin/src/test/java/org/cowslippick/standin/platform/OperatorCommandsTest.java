package org.cowslippick.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.cowslippick.cli.CowslippickCommand;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.core.time.SystemTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs operator commands against the stand-in platform while no entry runs. */
final class OperatorCommandsTest {

    private final SystemTimerService timer = new SystemTimerService(_failure -> {});
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private StandinPlatform platform;

    @BeforeEach
    void start() {
        platform = StandinPlatform.start(timer);
    }

    @AfterEach
    void stop() {
        platform.close();
        timer.close();
    }

    @Test
    void createsTheFirstTierAndOrganisationAsInTheReadme() {
        assertOk("tier", "create", "urgent", "rank=0", "weight=8", "first-token=500ms");
        assertOk("service", "create", "chat", "pool=models", "kind=model", "dispatch=dispatch-once");
        assertOk("settings", "set", "failure-domain oviedo", "region=asturias");
        assertOk(
                "endpoint",
                "create",
                "engine-1",
                "pool=models",
                "kind=model",
                "failure-domain=oviedo",
                "address=10.0.0.5:8000",
                "concurrency=16");
        assertOk("organisation", "create", "portalia", "tiers=urgent");
        assertOk("settings", "explain", "portalia", "chat", "urgent");
        assertTrue(printedText().contains("first-token     500ms   [tier urgent]"), printedText());
        output.reset();
        assertOk("settings", "history");
        assertTrue(printedText().contains("(absent) -> 500ms"), printedText());
        assertEquals(6, printedText().lines().count(), printedText());
    }

    @Test
    void aCommitWhoseResponseIsLostIsFoundByReadingItBack() {
        assertOk("tier", "create", "urgent", "rank=0", "weight=8");
        platform.faultInjector().loseResponses(1);
        assertOk("tier", "set", "urgent", "weight=9");
        output.reset();
        assertOk("tier", "list");
        assertTrue(printedText().contains("urgent  0     9"), printedText());
    }

    @Test
    void commandsReportAnUnavailablePlatformAsUnreachable() {
        platform.faultInjector().setUnavailable(true);
        assertEquals(ExitCode.UNREACHABLE, run("tier", "list"));
        assertEquals(ExitCode.UNREACHABLE, run("status"));
    }

    private void assertOk(String... arguments) {
        ExitCode exitCode = run(arguments);
        assertEquals(ExitCode.OK, exitCode, errors.toString(StandardCharsets.UTF_8));
    }

    private ExitCode run(String... arguments) {
        return new CowslippickCommand(
                        ImmutableMap.of("COWSLIPPICK_PLATFORM", "127.0.0.1:" + platform.port()),
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .run(ImmutableList.copyOf(arguments));
    }

    private String printedText() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
