package org.cowslippick.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** The result of one run of the command line: its exit code and output. */
record CommandRun(ExitCode exitCode, String output, String errors) {

    static CommandRun of(ImmutableMap<String, String> environment, String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        ExitCode exitCode = new CowslippickCommand(environment, stream(output), stream(errors))
                .run(ImmutableList.copyOf(arguments));
        return new CommandRun(exitCode, text(output), text(errors));
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8).stripTrailing();
    }
}
