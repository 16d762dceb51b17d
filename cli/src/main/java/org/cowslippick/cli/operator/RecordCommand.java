package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.net.UrlEscapers;
import io.vavr.control.Either;
import joptsimple.OptionParser;
import org.cowslippick.cli.Command;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.Report;
import org.cowslippick.cli.Table;

/** Sums an organisation's on-time record over all entries, and lists the entries that are missing. */
public final class RecordCommand implements Command {

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        return invocation
                .argument(0)
                .map(organisation ->
                        OperatorSession.run(invocation, session -> session.getFromEveryEntry(path(organisation))
                                .map(RecordCommand::report)))
                .orElseGet(() -> Either.left(CommandFailure.usage("the organisation is missing")));
    }

    private static String path(String organisation) {
        return "/v1/organisations/" + UrlEscapers.urlPathSegmentEscaper().escape(organisation) + "/record";
    }

    private static Report report(EntryResponses responses) {
        RecordTotals totals = RecordTotals.of(responses.bodies());
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode lines = json.putArray("lines");
        totals.lines().forEach(lines::add);
        ArrayNode missing = json.putArray("missing");
        responses.missing().forEach(missing::add);
        return new Report(
                responses.appendMissing(Table.fromObjects(totals.lines()).toText()), json);
    }
}
