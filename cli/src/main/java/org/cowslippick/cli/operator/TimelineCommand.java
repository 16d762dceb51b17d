package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import com.google.common.net.UrlEscapers;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.stream.Collectors;
import joptsimple.OptionParser;
import org.cowslippick.cli.Command;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.Invocation;
import org.cowslippick.cli.Report;
import org.cowslippick.cli.Table;

/** Merges the events of all entries by their Lamport clocks, so that every cause precedes its effects. */
public final class TimelineCommand implements Command {

    private static final ImmutableList<String> FILTERS = ImmutableList.of("request", "endpoint", "organisation");
    private static final Comparator<JsonNode> CAUSAL_ORDER = Comparator.<JsonNode>comparingLong(
                    event -> event.path("logicalTime").asLong())
            .thenComparing(event -> event.path("instance").asText());

    @Override
    public void declareOptions(OptionParser parser) {
        OperatorOptions.declare(parser);
        FILTERS.forEach(filter -> parser.accepts(filter, "shows only events of this " + filter)
                .withRequiredArg()
                .describedAs("NAME"));
    }

    @Override
    public Either<CommandFailure, Report> run(Invocation invocation) {
        String query = FILTERS.stream()
                .filter(filter -> invocation.options().has(filter))
                .map(filter -> filter + "="
                        + escapeParameter((String) invocation.options().valueOf(filter)))
                .collect(Collectors.joining("&"));
        return OperatorSession.run(invocation, session -> session.getFromEveryEntry("/v1/timeline?" + query)
                .map(TimelineCommand::report));
    }

    private static Report report(EntryResponses responses) {
        ImmutableList<JsonNode> events = merge(responses.bodies());
        ArrayNode json = JsonNodeFactory.instance.arrayNode();
        events.forEach(json::add);
        return new Report(responses.appendMissing(Table.fromObjects(events).toText()), json);
    }

    static ImmutableList<JsonNode> merge(ImmutableList<JsonNode> timelines) {
        return timelines.stream()
                .flatMap(timeline -> Streams.stream(timeline.path("events")))
                .sorted(CAUSAL_ORDER)
                .collect(ImmutableList.toImmutableList());
    }

    private static String escapeParameter(String value) {
        return UrlEscapers.urlFormParameterEscaper().escape(value);
    }
}
