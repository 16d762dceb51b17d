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

/** The command line of cowslippick: picks the subcommand, parses its options, prints its report or its failure. */
public final class CowslippickCommand {

    private static final String PREFIX = "cowslippick: ";

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

    /** Runs one command line. */
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
        Command command = subcommand.command();
        OptionParser parser = new OptionParser();
        parser.accepts("help", "prints this page");
        command.declare(parser);
        try {
            OptionSet options = parser.parse(arguments.toArray(String[]::new));
            return options.has("help") ? help(subcommand, parser) : run(command, options);
        } catch (OptionException wrongOptions) {
            return fail(CommandFailure.usage(wrongOptions.getMessage()));
        }
    }

    private ExitCode run(Command command, OptionSet options) {
        ImmutableList<String> arguments =
                options.nonOptionArguments().stream().map(String::valueOf).collect(ImmutableList.toImmutableList());
        Either<CommandFailure, Report> result = command.run(new Invocation(options, arguments, environment));
        return result.fold(this::fail, report -> succeed(report, options));
    }

    private ExitCode succeed(Report report, OptionSet options) {
        boolean json = options.has("json");
        output.println(json ? report.json().toPrettyString() : report.text());
        return ExitCode.OK;
    }

    private ExitCode fail(CommandFailure failure) {
        failure.lines().forEach(line -> errors.println(PREFIX + line));
        return failure.exitCode();
    }

    private ExitCode help(Subcommand subcommand, OptionParser parser) {
        output.println("cowslippick " + subcommand.text() + " " + subcommand.usage() + "\n\n" + subcommand.summary());
        output.println();
        output.println(optionPage(parser));
        output.println(exitCodes());
        return ExitCode.OK;
    }

    private static String optionPage(OptionParser parser) {
        StringWriter page = new StringWriter();
        try {
            parser.printHelpOn(page);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return page.toString();
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
                + exitCodes();
    }

    private static String exitCodes() {
        return "Exit codes:\n"
                + Arrays.stream(ExitCode.values())
                        .map(code -> "  " + code.number() + "  " + code.meaning())
                        .collect(Collectors.joining("\n"));
    }
}
