package org.cowslippick.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The request counts of several entries, added up per service and tier. */
record RecordTotals(ImmutableList<JsonNode> lines) {

    private static final ImmutableList<String> COUNTS = ImmutableList.of("requests", "onTime", "late");
    private static final String FAILED = "failed";

    static RecordTotals of(ImmutableList<JsonNode> records) {
        Map<String, ObjectNode> sums = new TreeMap<>();
        records.stream()
                .flatMap(record -> Streams.stream(record.path("lines")))
                .forEach(line -> add(sums.computeIfAbsent(key(line), _key -> zero(line)), line));
        return new RecordTotals(ImmutableList.copyOf(sums.values()));
    }

    private static String key(JsonNode line) {
        return line.path("service").asText() + " " + line.path("tier").asText();
    }

    private static ObjectNode zero(JsonNode line) {
        ObjectNode sum = JsonNodeFactory.instance.objectNode();
        Stream.of("service", "tier").forEach(field -> sum.set(field, line.path(field)));
        COUNTS.forEach(count -> sum.put(count, 0L));
        sum.putObject(FAILED);
        return sum;
    }

    private static void add(ObjectNode sum, JsonNode line) {
        COUNTS.forEach(count -> add(sum, line, count));
        ObjectNode failed = (ObjectNode) sum.get(FAILED);
        line.path(FAILED).fieldNames().forEachRemaining(kind -> add(failed, line.path(FAILED), kind));
    }

    private static void add(ObjectNode sum, JsonNode line, String count) {
        sum.put(count, sum.path(count).asLong() + line.path(count).asLong());
    }
}
