package org.cowslippick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What the entry does at signals, as a process of its own. */
class EntrySignalTest {

    private static final String SETTINGS =
            """
            [entry]
            name = entry-1
            failure-domain = here
            region = here
            caller-address = 127.0.0.1:0
            peer-address = 127.0.0.1:0
            [platform]
            address = 127.0.0.1:1
            [peers]
            keys = first-key-of-the-fleet
            """;

    @TempDir
    private Path folder;

    /** The JVM ran the shutdown hook at SIGHUP, so that the entry drained and ended. */
    // A thread of its own, as reading the output of a process cannot be interrupted.
    @Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    @Test
    void hangUpIsLoggedAndDoesNotEndTheEntry() throws Exception {
        Process entry = start();
        try (BufferedReader log = entry.inputReader()) {
            awaitLine(log, "started entry=entry-1");
            signal(entry, "HUP");
            awaitLine(log, "signal=SIGHUP");
            assertTrue(entry.isAlive());
            signal(entry, "TERM");
            assertEquals(0, entry.waitFor());
        } finally {
            entry.destroyForcibly();
        }
    }

    private Process start() throws IOException {
        Path settings = Files.writeString(folder.resolve("entry.ini"), SETTINGS);
        // A JVM that inherits an ignored signal, as under nohup, installs no handler of it.
        return new ProcessBuilder(ImmutableList.of(
                        "env",
                        "--default-signal=HUP,TERM",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        CowslippickCommand.class.getName(),
                        "entry",
                        "--settings",
                        settings.toString()))
                .redirectErrorStream(true)
                .start();
    }

    private static void awaitLine(BufferedReader log, String text) throws IOException {
        StringBuilder lines = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(text)) {
                return;
            }
            lines.append(line).append('\n');
        }
        throw new AssertionError("the entry ended without the line \"" + text + "\":\n" + lines);
    }

    private static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }
}
