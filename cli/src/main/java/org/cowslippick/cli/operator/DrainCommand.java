package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import joptsimple.OptionParser;
import org.cowslippick.cli.Command;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.Report;

/** Tells one entry to finish its requests and to leave. */
public final class DrainCommand implements Command {

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        return OperatorSession.run(invocation, session -> session.singleEntry().flatMap(DrainCommand::drain));
    }

    private static Either<CommandFailure, Report> drain(EntryApi entry) {
        return entry.post("/v1/drain", JsonNodeFactory.instance.objectNode())
                .map(_accepted -> new Report(
                        "entry " + entry.address() + " finishes its requests and leaves",
                        JsonNodeFactory.instance
                                .objectNode()
                                .put("draining", entry.address().toString())));
    }
}
