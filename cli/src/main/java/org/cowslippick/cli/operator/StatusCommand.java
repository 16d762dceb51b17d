package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import io.vavr.control.Either;
import java.util.stream.Stream;
import joptsimple.OptionParser;
import org.cowslippick.cli.Command;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.Report;
import org.cowslippick.cli.Table;

/** Shows the status of every entry. */
public final class StatusCommand implements Command {

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        return OperatorSession.run(
                invocation, session -> session.getFromEveryEntry("/v1/status").map(StatusCommand::report));
    }

    private static Report report(EntryResponses responses) {
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        responses.bodies().forEach(json::add);
        String text = Table.fromObjects(
                        responses.bodies().stream().map(StatusCommand::row).collect(ImmutableList.toImmutableList()))
                .toText();
        return new Report(responses.appendMissing(text), json);
    }

    /** Objects in arrays are abbreviated to their names in the table; the JSON output has them in full. */
    private static JsonNode row(JsonNode status) {
        ObjectNode row = JsonNodeFactory.instance.objectNode();
        status.properties().forEach(field -> row.set(field.getKey(), abbreviate(field.getValue())));
        return row;
    }

    private static JsonNode abbreviate(JsonNode value) {
        if (!value.isArray()) {
            return value;
        }
        ArrayNode names = JsonNodeFactory.instance.arrayNode();
        Stream<JsonNode> elements = Streams.stream(value);
        elements.forEach(element -> names.add(element.isObject() ? name(element) : element));
        return names;
    }

    private static JsonNode name(JsonNode element) {
        return Stream.of("name", "instance", "endpoint", "pool")
                .filter(element::has)
                .map(element::get)
                .findFirst()
                .orElse(element);
    }
}
