package org.cowslippick.cli.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.stream.Stream;
import org.cowslippick.cli.CommandFailure;
import org.cowslippick.cli.ExitCode;
import org.cowslippick.cli.http.HttpAnswer;
import org.cowslippick.cli.http.HttpCall;
import org.cowslippick.cli.http.HttpCalls;
import org.cowslippick.cli.http.HttpFault;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Outcome;

/** The operators' interface of one entry, as docs/INTERFACES.md gives it. */
final class EntryApi {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final HostAndPort address;
    private final HttpCalls calls;
    private final Optional<String> credential;

    EntryApi(HostAndPort address, HttpCalls calls, Optional<String> credential) {
        this.address = address;
        this.calls = calls;
        this.credential = credential;
    }

    HostAndPort address() {
        return address;
    }

    Either<CommandFailure, JsonNode> get(String path) {
        return call(HttpCall.get(address, path), ExitCode.UNREACHABLE);
    }

    Either<CommandFailure, JsonNode> post(String path, JsonNode body) {
        return call(HttpCall.post(address, path, body.toString()), ExitCode.OUTCOME_UNKNOWN);
    }

    private Either<CommandFailure, JsonNode> call(HttpCall call, ExitCode whenAnswerLost) {
        return calls.call(call.withCredential(credential))
                .mapLeft(fault -> failure(fault, whenAnswerLost))
                .flatMap(this::read);
    }

    private CommandFailure failure(HttpFault fault, ExitCode whenAnswerLost) {
        return switch (fault) {
            case NOT_SENT -> CommandFailure.of(ExitCode.UNREACHABLE, "entry " + address + " cannot be reached");
            case ANSWER_LOST -> CommandFailure.of(whenAnswerLost, "entry " + address + " did not answer");
        };
    }

    private Either<CommandFailure, JsonNode> read(HttpAnswer answer) {
        JsonNode body = parse(answer.body());
        return answer.successful() ? Either.right(body) : Either.left(refusal(answer.status(), body));
    }

    private CommandFailure refusal(int status, JsonNode body) {
        String kind = body.path("error").asText("status " + status);
        String first = "entry " + address + " refused: " + kind + ": "
                + body.path("detail").asText("");
        return new CommandFailure(
                exitCode(kind, body),
                Stream.concat(Stream.of(first), Stream.concat(texts(body.path("faults")), texts(body.path("changes"))))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static ExitCode exitCode(String kind, JsonNode body) {
        if (kind.equals(ErrorKind.SETTINGS_CONFLICT.text())) {
            return ExitCode.CONFLICT;
        }
        if (kind.equals(ErrorKind.PLATFORM_UNAVAILABLE.text())) {
            return ExitCode.UNREACHABLE;
        }
        return body.path("outcome").asText().equals(Outcome.UNKNOWN.text())
                ? ExitCode.OUTCOME_UNKNOWN
                : ExitCode.REFUSED;
    }

    private static Stream<String> texts(JsonNode array) {
        return Streams.stream(array).map(node -> node.isTextual() ? node.asText() : node.toString());
    }

    private static JsonNode parse(String body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException _notJson) {
            return MissingNode.getInstance();
        }
    }
}
