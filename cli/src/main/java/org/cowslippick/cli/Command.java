package org.cowslippick.cli;

import io.vavr.control.Either;
import joptsimple.OptionParser;

/** The implementation of a subcommand. */
public interface Command {

    /** Declares the options of the subcommand. */
    void declareOptions(OptionParser parser);

    /** Executes the subcommand. */
    Either<CommandFailure, Report> run(Invocation invocation);
}
