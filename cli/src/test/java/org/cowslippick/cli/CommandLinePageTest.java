package org.cowslippick.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that docs/CLI.md contains every subcommand and exit code as the code defines them. */
final class CommandLinePageTest {

    private static final Path PAGE = Path.of("..", "docs", "CLI.md");

    @Test
    void pageHasEverySubcommandAndExitCode() throws IOException {
        List<String> lines = Files.readAllLines(PAGE);
        for (Subcommand subcommand : Subcommand.values()) {
            String usage =
                    subcommand.usage().isEmpty() ? "" : "`" + subcommand.usage().replace("|", "\\|") + "`";
            String row = "| `" + subcommand.text() + "` | " + usage + " | " + subcommand.summary() + " |";
            assertTrue(lines.contains(row), row);
        }
        for (ExitCode code : ExitCode.values()) {
            String row = "| " + code.number() + " | " + code.meaning() + " |";
            assertTrue(lines.contains(row), row);
        }
    }
}
