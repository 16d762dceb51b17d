package org.cowslippick.entry.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** One token of a model engine's answer, with its offset. */
record ModelChunk(String id, int offset, String text) {

    static Optional<ModelChunk> parse(String data) {
        return Json.read(data).map(ModelChunk::of);
    }

    private static ModelChunk of(JsonNode node) {
        return new ModelChunk(
                node.path("id").asText(),
                node.path("offset").asInt(-1),
                node.path("choices").path(0).path("delta").path("content").asText());
    }
}
