package org.cowslippick.standin;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cowslippick.standin.demo.DemoCommand;

/** The command line of the demo and the benches. */
public final class StandinCommand {

    private static final int EXIT_WRONG_ANSWER = 1;
    private static final int EXIT_USAGE = 2;

    private StandinCommand() {}

    /** Runs the demo. */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        parser.accepts("once", "exit after the three answers");
        parser.accepts("help", "show this help").forHelp();
        OptionSet options = parser.parse(arguments);
        if (options.has("help") || !options.nonOptionArguments().contains("demo")) {
            System.err.println("usage: cowslippick demo [--once]");
            parser.printHelpOn(System.err);
            System.exit(options.has("help") ? 0 : EXIT_USAGE);
        }
        boolean right = new DemoCommand(System.out).run(options.has("once"));
        System.exit(right ? 0 : EXIT_WRONG_ANSWER);
    }
}
