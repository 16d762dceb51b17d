package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.UrlEscapers;
import io.vavr.control.Either;
import joptsimple.OptionParser;
import org.cowslippick.cli.Command;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.Report;
import org.cowslippick.cli.Table;

/** Shows an organisation's record of promises kept. */
public final class RecordCommand implements Command {

    @Override
    public void declare(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        return invocation
                .argument(0)
                .map(organisation -> OperatorSession.run(invocation, session -> session.fromAnyEntry(path(organisation))
                        .map(RecordCommand::report)))
                .orElseGet(() -> Either.left(CommandFailure.usage("the organisation is missing")));
    }

    private static String path(String organisation) {
        return "/v1/organisations/" + UrlEscapers.urlPathSegmentEscaper().escape(organisation) + "/record";
    }

    private static Report report(JsonNode record) {
        JsonNode rows = record.path("rows");
        Table table = Table.ofObjects(rows.isArray() ? rows : ImmutableList.of(record));
        return new Report(table.toText(), record);
    }
}
