package org.cowslippick.cli;

import com.google.common.collect.ImmutableList;

/** The failure of a command: its exit code and the lines for the error stream. */
public record CommandFailure(ExitCode exitCode, ImmutableList<String> lines) {

    public static CommandFailure of(ExitCode exitCode, String line) {
        return new CommandFailure(exitCode, ImmutableList.of(line));
    }

    public static CommandFailure usage(String line) {
        return of(ExitCode.USAGE, line);
    }
}
