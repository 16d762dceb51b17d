package org.cowslippick.cli;

/** The exit codes of the command line. docs/CLI.md contains the same table. */
public enum ExitCode {
    OK(0, "The command did what it says."),
    REFUSED(1, "The system refused: a faulty setting, a missing credential, or something that does not exist."),
    USAGE(2, "The command line is wrong."),
    UNREACHABLE(3, "Neither an entry nor the platform could be reached; nothing was changed."),
    CONFLICT(4, "Somebody else changed the settings first; nothing was changed."),
    OUTCOME_UNKNOWN(5, "The change was sent but its answer was lost; read the settings to see whether it holds.");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    public int number() {
        return number;
    }

    public String meaning() {
        return meaning;
    }
}
