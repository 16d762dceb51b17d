package org.cowslippick.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.cowslippick.cli.operator.DrainCommand;
import org.cowslippick.cli.operator.ObjectCommand;
import org.cowslippick.cli.operator.RecordCommand;
import org.cowslippick.cli.operator.SettingsCommand;
import org.cowslippick.cli.operator.StatusCommand;
import org.cowslippick.cli.operator.TimelineCommand;
import org.cowslippick.core.settings.SectionKind;

/** The subcommands of the command line. docs/CLI.md contains the same table. */
public enum Subcommand {
    ENTRY("--settings FILE.ini", "Runs an entry process until it is told to leave.") {
        @Override
        Command createCommand() {
            return new EntryCommand();
        }
    },
    TIER(Subcommand.OBJECT_USAGE, "Creates, changes and shows tiers.") {
        @Override
        Command createCommand() {
            return new ObjectCommand(SectionKind.TIER);
        }
    },
    SERVICE(Subcommand.OBJECT_USAGE, "Creates, changes and shows services.") {
        @Override
        Command createCommand() {
            return new ObjectCommand(SectionKind.SERVICE);
        }
    },
    ENDPOINT(Subcommand.OBJECT_USAGE, "Creates, changes and shows endpoints.") {
        @Override
        Command createCommand() {
            return new ObjectCommand(SectionKind.ENDPOINT);
        }
    },
    ORGANISATION(Subcommand.OBJECT_USAGE, "Creates, changes and shows organisations; creation prints a credential.") {
        @Override
        Command createCommand() {
            return new ObjectCommand(SectionKind.ORGANISATION);
        }
    },
    SETTINGS(
            "get [SECTION] | set SECTION KEY=VALUE... | explain ORGANISATION SERVICE TIER | history | apply FILE",
            "Reads and changes the settings tree. KEY= removes a key, so that its value is inherited.") {
        @Override
        Command createCommand() {
            return new SettingsCommand();
        }
    },
    STATUS("", "Shows every entry with its settings revision.") {
        @Override
        Command createCommand() {
            return new StatusCommand();
        }
    },
    TIMELINE("", "Shows the events of all entries in causal order.") {
        @Override
        Command createCommand() {
            return new TimelineCommand();
        }
    },
    DRAIN("", "Tells one entry to finish its requests and to leave.") {
        @Override
        Command createCommand() {
            return new DrainCommand();
        }
    },
    RECORD("ORGANISATION", "Shows an organisation's own record of promises kept, with its own credential.") {
        @Override
        Command createCommand() {
            return new RecordCommand();
        }
    };

    private static final String OBJECT_USAGE =
            "create NAME KEY=VALUE... | set NAME KEY=VALUE... | show NAME | list" + " | remove NAME";

    private final String usage;
    private final String summary;

    Subcommand(String usage, String summary) {
        this.usage = usage;
        this.summary = summary;
    }

    abstract Command createCommand();

    /** The name on the command line, such as {@code settings}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The syntax of its arguments, empty if it takes none. */
    public String usage() {
        return usage;
    }

    /** A one-line description. */
    public String summary() {
        return summary;
    }

    /** Returns the subcommand with the given name, if there is one. */
    public static Optional<Subcommand> parse(String text) {
        return Arrays.stream(values())
                .filter(subcommand -> subcommand.text().equals(text))
                .findFirst();
    }
}
