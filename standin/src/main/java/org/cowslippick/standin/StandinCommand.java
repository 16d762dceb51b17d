package org.cowslippick.standin;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.cowslippick.standin.bench.BenchCommand;
import org.cowslippick.standin.demo.DemoSubcommand;

/** Entry point of the demo and the benches. */
public final class StandinCommand {

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private StandinCommand() {}

    /** Runs the subcommand named by the first argument. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        // Start and stop messages of the HTTP server are not part of the output.
        Logger.getLogger("").setLevel(Level.WARNING);
        Thread.setDefaultUncaughtExceptionHandler(StandinCommand::handleUncaught);
        System.exit(run(List.copyOf(Arrays.asList(arguments))));
    }

    /** Ends the process if its main thread failed, because server threads would keep it alive. */
    private static void handleUncaught(Thread thread, Throwable failure) {
        System.err.println("thread " + thread.getName() + " failed: " + failure);
        if (thread.getName().equals("main")) {
            System.exit(EXIT_FAILED);
        }
    }

    private static int run(List<String> arguments) throws IOException, InterruptedException {
        String subcommand = arguments.stream().findFirst().orElse("");
        List<String> rest = arguments.stream().skip(1).toList();
        return switch (subcommand) {
            case "demo" -> new DemoSubcommand(System.out, System.err).run(rest);
            case "bench" -> new BenchCommand(System.out, System.err).run(rest);
            default -> printUsage();
        };
    }

    private static int printUsage() {
        System.err.println("usage: cowslippick demo [--once]");
        System.err.println("       cowslippick bench NAME [--seconds N] [--seed S] [--json]");
        return EXIT_USAGE;
    }
}
