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

/** A text table with a header row. Every row has one cell per column. */
public record Table(ImmutableList<String> columns, ImmutableList<ImmutableList<String>> rows) {

    private static final String COLUMN_SEPARATOR = "  ";

    public Table {
        rows.stream().filter(row -> row.size() != columns.size()).findFirst().ifPresent(row -> {
            throw new IllegalArgumentException("row " + row + " does not fit columns " + columns);
        });
    }

    /** Creates a table with a row per JSON object and a column per field that occurs in any of them. */
    public static Table fromObjects(Iterable<JsonNode> objects) {
        ImmutableSet<String> columns = Streams.stream(objects)
                .flatMap(object -> Streams.stream(object.fieldNames()))
                .collect(ImmutableSet.toImmutableSet());
        return new Table(
                columns.asList(),
                Streams.stream(objects)
                        .map(object -> columns.stream()
                                .map(column -> toCell(object.path(column)))
                                .collect(ImmutableList.toImmutableList()))
                        .collect(ImmutableList.toImmutableList()));
    }

    /** Returns the table as text, and its rows as an array of JSON objects. */
    public Report toReport() {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        rows.forEach(row -> array.add(toObject(row)));
        return new Report(toText(), array);
    }

    /** Formats the table with aligned columns, each as wide as its widest cell. */
    public String toText() {
        ImmutableList<Integer> widths =
                IntStream.range(0, columns.size()).mapToObj(this::columnWidth).collect(ImmutableList.toImmutableList());
        return Stream.concat(Stream.of(columns), rows.stream())
                .map(row -> formatRow(row, widths))
                .collect(Collectors.joining("\n"));
    }

    private ObjectNode toObject(ImmutableList<String> row) {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        IntStream.range(0, row.size()).forEach(index -> object.put(columns.get(index), row.get(index)));
        return object;
    }

    private int columnWidth(int column) {
        return Stream.concat(Stream.of(columns), rows.stream())
                .mapToInt(row -> row.get(column).length())
                .max()
                .orElse(0);
    }

    private static String formatRow(ImmutableList<String> row, ImmutableList<Integer> widths) {
        return IntStream.range(0, row.size())
                .mapToObj(index -> Strings.padEnd(row.get(index), widths.get(index), ' '))
                .collect(Collectors.joining(COLUMN_SEPARATOR))
                .stripTrailing();
    }

    private static String toCell(JsonNode value) {
        if (value.isArray()) {
            return Streams.stream(value).map(Table::toCell).collect(Collectors.joining(" "));
        }
        return value.isObject() ? value.toString() : value.asText();
    }
}
