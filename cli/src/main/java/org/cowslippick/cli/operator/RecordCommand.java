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

/** Sums an organisation's record of promises kept over the entries, and says which entries are missing. */
public final class RecordCommand implements Command {

    @Override
    public void declare(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        return invocation
                .argument(0)
                .map(organisation ->
                        OperatorSession.run(invocation, session -> session.fromEveryEntry(path(organisation))
                                .map(RecordCommand::report)))
                .orElseGet(() -> Either.left(CommandFailure.usage("the organisation is missing")));
    }

    private static String path(String organisation) {
        return "/v1/organisations/" + UrlEscapers.urlPathSegmentEscaper().escape(organisation) + "/record";
    }

    private static Report report(EveryEntry answers) {
        RecordSum sum = RecordSum.of(answers.bodies());
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode lines = json.putArray("lines");
        sum.lines().forEach(lines::add);
        ArrayNode missing = json.putArray("missing");
        answers.missing().forEach(missing::add);
        return new Report(answers.withMissing(Table.ofObjects(sum.lines()).toText()), json);
    }
}
