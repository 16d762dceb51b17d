package org.cowslippick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CowslippickCommandTest {

    @Test
    void everySubcommandHasHelp() {
        for (Subcommand subcommand : Subcommand.values()) {
            CommandRun run = CommandRun.of(ImmutableMap.of(), subcommand.text(), "--help");
            assertEquals(ExitCode.OK, run.exitCode());
            assertTrue(run.output().startsWith("cowslippick " + subcommand.text()), run.output());
        }
        assertTrue(CommandRun.of(ImmutableMap.of(), "--help").output().contains("timeline"));
    }

    @Test
    void wrongCommandLinesAreUsageErrors() {
        for (String line : new String[] {
            "",
            "tirr",
            "tier",
            "tier list",
            "tier list --entry nowhere",
            "tier show --entry 127.0.0.1:1",
            "tier --colour",
            "settings explain a",
            "entry",
            "entry --settings /nowhere/at.all",
            "record"
        }) {
            CommandRun run = CommandRun.of(ImmutableMap.of(), line.isEmpty() ? new String[0] : line.split(" "));
            assertEquals(ExitCode.USAGE, run.exitCode(), line);
            assertTrue(run.errors().startsWith("cowslippick: "), line);
        }
    }

    @Test
    void refusesASettingsFileWithEveryFault(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("entry.ini");
        Files.writeString(file, "[entry]\nname = a b\n[x]\n");
        CommandRun run = CommandRun.of(ImmutableMap.of(), "entry", "--settings", file.toString());
        assertEquals(ExitCode.REFUSED, run.exitCode());
        assertTrue(run.errors().contains("entry.ini: line 2: [entry] name: \"a b\" is not"), run.errors());
        assertTrue(run.errors().contains("line 3: [x]: no such section"), run.errors());
    }

    @Test
    void helpNamesEveryProgram() {
        String help = CommandRun.of(ImmutableMap.of(), "--help").output();
        for (String program : new String[] {"entry", "settings", "demo", "bench", "soak"}) {
            assertTrue(help.contains("  " + program + " "), program);
        }
    }

    @Test
    void longValueIsCutInItsError(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("entry.ini");
        Files.writeString(file, "[entry]\nname = " + "a ".repeat(1_000_000) + "\n");
        CommandRun run = CommandRun.of(ImmutableMap.of(), "entry", "--settings", file.toString());
        assertEquals(ExitCode.REFUSED, run.exitCode());
        assertTrue(run.errors().contains("characters) is not"), run.errors().substring(0, 500));
        assertTrue(run.errors().length() < 2_000);
    }

    @Test
    void fileThatIsNoTextIsNamedAsSuch(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("entry.ini");
        Files.write(file, new byte[] {(byte) 0xff, (byte) 0xfe, 0, 1});
        CommandRun run = CommandRun.of(ImmutableMap.of(), "entry", "--settings", file.toString());
        assertEquals(ExitCode.USAGE, run.exitCode());
        assertTrue(run.errors().contains("entry.ini\" is not a text file in UTF-8"), run.errors());
    }
}
