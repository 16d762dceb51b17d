package org.cowslippick.cli;

import io.vavr.control.Either;
import joptsimple.OptionParser;

/** One subcommand. */
public interface Command {

    /** Declares the options that it takes. */
    void declare(OptionParser parser);

    /** Does what the command line says. */
    Either<CommandFailure, Report> run(Invocation invocation);
}
