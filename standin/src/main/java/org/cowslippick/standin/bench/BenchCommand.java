package org.cowslippick.standin.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslippick.entry.endpoint.Json;

/** The subcommand {@code bench}, which measures the policy of cowslippick and the naive policy under the same load. */
public final class BenchCommand {

    private static final int EXIT_OK = 0;
    private static final int EXIT_TOO_FEW_REQUESTS = 1;
    private static final int EXIT_USAGE = 2;
    private static final long DEFAULT_SEED = 1;
    private static final long MAXIMUM_SECONDS = 3600;

    private final PrintStream out;
    private final PrintStream err;
    private final OptionParser parser = new OptionParser();
    private final OptionSpec<Long> seconds = parser.accepts("seconds", "how long each policy is loaded, 1 to 3600")
            .withRequiredArg()
            .ofType(Long.class);
    private final OptionSpec<Long> seed = parser.accepts("seed", "what the load follows from")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(DEFAULT_SEED);
    private final OptionSpec<Void> json = parser.accepts("json", "print one JSON object");
    private final OptionSpec<Void> help =
            parser.accepts("help", "show this help").forHelp();
    private final OptionSpec<String> names = parser.nonOptions();

    /** Creates the subcommand with the streams that it prints to. */
    public BenchCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs the bench named in the arguments and returns the exit code. */
    public int run(List<String> arguments) throws IOException {
        try {
            OptionSet options = parser.parse(arguments.toArray(String[]::new));
            return options.has(help) ? printHelp(EXIT_OK) : run(options);
        } catch (OptionException invalid) {
            err.println(invalid.getMessage());
            return printHelp(EXIT_USAGE);
        }
    }

    private int run(OptionSet options) throws IOException {
        Optional<Bench> bench = options.valuesOf(names).stream().findFirst().flatMap(Bench::parse);
        if (bench.isEmpty()) {
            return printHelp(EXIT_USAGE);
        }
        Optional<Long> requestedSeconds = Optional.ofNullable(options.valueOf(seconds));
        if (requestedSeconds
                .filter(given -> given < 1 || given > MAXIMUM_SECONDS)
                .isPresent()) {
            err.println("--seconds must be from 1 to " + MAXIMUM_SECONDS + ": " + requestedSeconds.get());
            return EXIT_USAGE;
        }
        BenchReport report =
                bench.get().run(new BenchOptions(requestedSeconds.map(Duration::ofSeconds), options.valueOf(seed)));
        out.println(options.has(json) ? Json.write(report) : ReportTable.format(report));
        if (!report.hasEnoughRequests()) {
            err.println("only " + report.requests() + " requests were offered; fewer than "
                    + BenchReport.MINIMUM_REQUESTS + " say nothing");
        }
        return exitCode(report);
    }

    /** A missed target is not a failure, but a run with too few requests for valid figures is. */
    static int exitCode(BenchReport report) {
        return report.hasEnoughRequests() ? EXIT_OK : EXIT_TOO_FEW_REQUESTS;
    }

    private int printHelp(int exitCode) throws IOException {
        err.println("usage: cowslippick bench " + Bench.names() + " [--seconds N] [--seed S] [--json]");
        parser.printHelpOn(err);
        return exitCode;
    }
}
