package org.cowslippick.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Streams;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Rows under column names. */
public record Table(ImmutableList<String> columns, ImmutableList<ImmutableList<String>> rows) {

    private static final String GAP = "  ";

    public Table {
        rows.stream().filter(row -> row.size() != columns.size()).findFirst().ifPresent(row -> {
            throw new IllegalArgumentException("row " + row + " does not fit columns " + columns);
        });
    }

    /** Makes a table of JSON objects whose columns are all fields that occur. */
    public static Table ofObjects(Iterable<JsonNode> objects) {
        ImmutableSet<String> columns = Streams.stream(objects)
                .flatMap(object -> Streams.stream(object.fieldNames()))
                .collect(ImmutableSet.toImmutableSet());
        return new Table(
                columns.asList(),
                Streams.stream(objects)
                        .map(object -> columns.stream()
                                .map(column -> cell(object.path(column)))
                                .collect(ImmutableList.toImmutableList()))
                        .collect(ImmutableList.toImmutableList()));
    }

    /** Pairs the table with its own rows as JSON objects. */
    public Report toReport() {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        rows.forEach(row -> array.add(object(row)));
        return new Report(toText(), array);
    }

    /** Writes the columns in line, each as wide as its widest cell. */
    public String toText() {
        ImmutableList<Integer> widths =
                IntStream.range(0, columns.size()).mapToObj(this::width).collect(ImmutableList.toImmutableList());
        return Stream.concat(Stream.of(columns), rows.stream())
                .map(row -> line(row, widths))
                .collect(Collectors.joining("\n"));
    }

    private ObjectNode object(ImmutableList<String> row) {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        IntStream.range(0, row.size()).forEach(index -> object.put(columns.get(index), row.get(index)));
        return object;
    }

    private int width(int column) {
        return Stream.concat(Stream.of(columns), rows.stream())
                .mapToInt(row -> row.get(column).length())
                .max()
                .orElse(0);
    }

    private static String line(ImmutableList<String> row, ImmutableList<Integer> widths) {
        return IntStream.range(0, row.size())
                .mapToObj(index -> Strings.padEnd(row.get(index), widths.get(index), ' '))
                .collect(Collectors.joining(GAP))
                .stripTrailing();
    }

    private static String cell(JsonNode value) {
        if (value.isArray()) {
            return Streams.stream(value).map(Table::cell).collect(Collectors.joining(" "));
        }
        return value.isObject() ? value.toString() : value.asText();
    }
}
