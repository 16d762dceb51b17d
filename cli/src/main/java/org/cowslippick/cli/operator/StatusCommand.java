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

/** Shows what each entry says of itself. */
public final class StatusCommand implements Command {

    @Override
    public void declare(OptionParser parser) {
        OperatorOptions.declare(parser);
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        return OperatorSession.run(
                invocation, session -> session.fromEveryEntry("/v1/status").map(StatusCommand::report));
    }

    private static Report report(EveryEntry answers) {
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        answers.bodies().forEach(json::add);
        String text = Table.ofObjects(
                        answers.bodies().stream().map(StatusCommand::row).collect(ImmutableList.toImmutableList()))
                .toText();
        return new Report(answers.withMissing(text), json);
    }

    /** Objects within a status are shown by their names only; JSON has the rest. */
    private static JsonNode row(JsonNode status) {
        ObjectNode row = JsonNodeFactory.instance.objectNode();
        status.properties().forEach(field -> row.set(field.getKey(), brief(field.getValue())));
        return row;
    }

    private static JsonNode brief(JsonNode value) {
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
