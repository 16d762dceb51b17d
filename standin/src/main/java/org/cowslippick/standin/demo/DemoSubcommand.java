package org.cowslippick.standin.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The subcommand {@code demo}. */
public final class DemoSubcommand {

    private static final int EXIT_OK = 0;
    private static final int EXIT_WRONG_ANSWER = 1;
    private static final int EXIT_USAGE = 2;

    private final PrintStream out;
    private final PrintStream err;
    private final OptionParser parser = new OptionParser();
    private final OptionSpec<Void> once = parser.accepts("once", "exit after the three answers");
    private final OptionSpec<Void> help =
            parser.accepts("help", "show this help").forHelp();

    /** Creates the subcommand with the streams that it prints to. */
    public DemoSubcommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs the demo and returns the exit code. */
    public int run(List<String> arguments) throws IOException, InterruptedException {
        try {
            OptionSet options = parser.parse(arguments.toArray(String[]::new));
            if (options.has(help)) {
                return printHelp(EXIT_OK);
            }
            return new DemoScenario(out).run(options.has(once)) ? EXIT_OK : EXIT_WRONG_ANSWER;
        } catch (OptionException invalid) {
            err.println(invalid.getMessage());
            return printHelp(EXIT_USAGE);
        }
    }

    private int printHelp(int exitCode) throws IOException {
        err.println("usage: cowslippick demo [--once]");
        parser.printHelpOn(err);
        return exitCode;
    }
}
