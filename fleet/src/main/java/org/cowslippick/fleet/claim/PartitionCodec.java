package org.cowslippick.fleet.claim;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cowslippick.core.request.RequestId;

/** Converts partitions to JSON and back. */
final class PartitionCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PartitionCodec() {}

    static String write(PartitionState state) {
        List<Line> lines = state.claims().entrySet().stream()
                .map(entry -> new Line(
                        entry.getKey().digest(),
                        entry.getValue().holder().value(),
                        entry.getValue().claimedAt().getEpochSecond()))
                .toList();
        try {
            return MAPPER.writeValueAsString(new Body(lines));
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(
                    "claim partition cannot be serialised as JSON: " + failure.getOriginalMessage(), failure);
        }
    }

    /** Parses a partition; empty if the text is not a valid partition, in which case it must not be overwritten. */
    static Optional<PartitionState> read(String text) {
        try {
            return Optional.of(new PartitionState(MAPPER.readValue(text, Body.class).claims().stream()
                    .collect(ImmutableMap.toImmutableMap(
                            line -> new ClaimIdentity(line.identity()),
                            line -> new StoredClaim(
                                    new RequestId(line.request()), Instant.ofEpochSecond(line.claimedAt()))))));
        } catch (JsonProcessingException | IllegalArgumentException _damaged) {
            return Optional.empty();
        }
    }

    private record Body(List<Line> claims) {}

    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"identity", "request", "claimedAt"})
    private record Line(String identity, String request, long claimedAt) {}
}
