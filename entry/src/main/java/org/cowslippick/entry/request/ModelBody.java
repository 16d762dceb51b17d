package org.cowslippick.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.vavr.control.Either;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.entry.endpoint.Json;

/**
 * The body of a request to a model service, in the native or the OpenAI-style format.
 *
 * @param messages the chat messages as JSON
 * @param promptText the contents of all messages
 */
record ModelBody(String messages, String promptText, int answerTokens) {

    private static final int DEFAULT_ANSWER_TOKENS = 256;
    private static final int MAXIMUM_ANSWER_TOKENS = 131_072;

    static Either<Failure, ModelBody> parse(JsonNode json) {
        int answerTokens = answerTokens(json);
        if (answerTokens < 1 || answerTokens > MAXIMUM_ANSWER_TOKENS) {
            return malformed(
                    "the maximum number of answer tokens must be an integer from 1 to " + MAXIMUM_ANSWER_TOKENS);
        }
        JsonNode prompt = json.path("prompt");
        if (prompt.isTextual()) {
            String messages = "[{\"role\":\"user\",\"content\":" + Json.write(prompt) + "}]";
            return Either.right(new ModelBody(messages, prompt.asText(), answerTokens));
        }
        JsonNode messages = json.path("messages");
        return isWellFormed(messages)
                ? Either.right(new ModelBody(Json.write(messages), contents(messages), answerTokens))
                : malformed(
                        "the body must have \"prompt\" as text, or \"messages\" with \"role\" and \"content\" as text");
    }

    private static int answerTokens(JsonNode json) {
        JsonNode value = Stream.of("maximumAnswerTokens", "max_tokens")
                .map(json::path)
                .filter(node -> !node.isMissingNode())
                .findFirst()
                .orElseGet(MissingNode::getInstance);
        if (value.isMissingNode()) {
            return DEFAULT_ANSWER_TOKENS;
        }
        return value.isIntegralNumber() && value.canConvertToInt() ? value.asInt() : 0;
    }

    private static boolean isWellFormed(JsonNode messages) {
        return messages.isArray()
                && !messages.isEmpty()
                && StreamSupport.stream(messages.spliterator(), false)
                        .allMatch(message -> message.path("role").isTextual()
                                && message.path("content").isTextual());
    }

    private static String contents(JsonNode messages) {
        return StreamSupport.stream(messages.spliterator(), false)
                .map(message -> message.path("content").asText())
                .collect(Collectors.joining("\n"));
    }

    private static Either<Failure, ModelBody> malformed(String detail) {
        return Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, detail));
    }
}
