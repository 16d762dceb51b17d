package org.cowslippick.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** The cowslippick command line: selects the subcommand, parses its options and prints its report or failure. */
public final class CowslippickCommand {

    /** Programs that bin/cowslippick runs from the source tree, outside this command line. */
    private static final String DEVELOPER_PROGRAMS =
            """
            In the source tree also:
              demo [--once]                 A fleet, a platform and engines in one process, and three requests.
              bench NAME [--seed S]         The project's benches; without a name, their list.
              soak SEED SECONDS [COUNT]     The fault soak of the operators' program.
            """;

    private static final String ERROR_PREFIX = "cowslippick: ";

    private final ImmutableMap<String, String> environment;
    private final PrintStream output;
    private final PrintStream errors;

    /** Creates a command line that reads these environment variables and writes to these streams. */
    public CowslippickCommand(ImmutableMap<String, String> environment, PrintStream output, PrintStream errors) {
        this.environment = environment;
        this.output = output;
        this.errors = errors;
    }

    /** Runs the command line and exits with its exit code. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        CowslippickCommand command =
                new CowslippickCommand(ImmutableMap.copyOf(System.getenv()), System.out, System.err);
        System.exit(command.run(ImmutableList.copyOf(arguments)).number());
    }

    /** Runs one command line and returns its exit code. */
    public ExitCode run(ImmutableList<String> arguments) {
        if (arguments.isEmpty()) {
            return fail(CommandFailure.usage("no subcommand given; see --help"));
        }
        if (arguments.get(0).equals("--help")) {
            output.println(overview());
            return ExitCode.OK;
        }
        return Subcommand.parse(arguments.get(0))
                .map(subcommand -> run(subcommand, arguments.subList(1, arguments.size())))
                .orElseGet(() ->
                        fail(CommandFailure.usage("no such subcommand: \"" + arguments.get(0) + "\"; see --help")));
    }

    private ExitCode run(Subcommand subcommand, ImmutableList<String> arguments) {
        if (subcommand != Subcommand.ENTRY) {
            Logger.getLogger("").setLevel(Level.OFF);
        }
        Command command = subcommand.createCommand();
        OptionParser parser = new OptionParser();
        parser.accepts("help", "prints this page");
        command.declareOptions(parser);
        try {
            OptionSet options = parser.parse(arguments.toArray(String[]::new));
            return options.has("help") ? printHelp(subcommand, parser) : run(command, options);
        } catch (OptionException invalidOptions) {
            return fail(CommandFailure.usage(invalidOptions.getMessage()));
        }
    }

    private ExitCode run(Command command, OptionSet options) {
        ImmutableList<String> arguments =
                options.nonOptionArguments().stream().map(String::valueOf).collect(ImmutableList.toImmutableList());
        Either<CommandFailure, Report> result = command.run(new Invocation(options, arguments, environment));
        return result.fold(this::fail, report -> succeed(report, options));
    }

    private ExitCode succeed(Report report, OptionSet options) {
        boolean isJson = options.has("json");
        output.println(isJson ? report.json().toPrettyString() : report.text());
        return ExitCode.OK;
    }

    private ExitCode fail(CommandFailure failure) {
        failure.lines().forEach(line -> errors.println(ERROR_PREFIX + line));
        return failure.exitCode();
    }

    private ExitCode printHelp(Subcommand subcommand, OptionParser parser) {
        output.println("cowslippick " + subcommand.text() + " " + subcommand.usage() + "\n\n" + subcommand.summary());
        output.println();
        output.println(optionHelp(parser));
        output.println(exitCodeTable());
        return ExitCode.OK;
    }

    private static String optionHelp(OptionParser parser) {
        StringWriter text = new StringWriter();
        try {
            parser.printHelpOn(text);
        } catch (IOException failure) {
            // The parser declares the exception for any writer; a StringWriter never throws it.
            throw new UncheckedIOException(failure);
        }
        return text.toString();
    }

    private static String overview() {
        int width = Arrays.stream(Subcommand.values())
                .mapToInt(subcommand -> subcommand.text().length())
                .max()
                .orElse(0);
        String subcommands = Arrays.stream(Subcommand.values())
                .map(subcommand -> String.format("  %-" + width + "s  %s", subcommand.text(), subcommand.summary()))
                .collect(Collectors.joining("\n"));
        return "cowslippick SUBCOMMAND [OPTIONS] [ARGUMENTS]; cowslippick SUBCOMMAND --help\n\n" + subcommands + "\n\n"
                + DEVELOPER_PROGRAMS + "\n" + exitCodeTable();
    }

    private static String exitCodeTable() {
        return "Exit codes:\n"
                + Arrays.stream(ExitCode.values())
                        .map(code -> "  " + code.number() + "  " + code.meaning())
                        .collect(Collectors.joining("\n"));
    }
}
