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
import org.cowslippick.cli.http.HttpFault;
import org.cowslippick.cli.http.HttpRequest;
import org.cowslippick.cli.http.HttpResponse;
import org.cowslippick.cli.http.RatpackHttpClient;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Outcome;

/** A client of the operators' HTTP interface of one entry, as specified in docs/INTERFACES.md. */
final class EntryApi {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final HostAndPort address;
    private final RatpackHttpClient httpClient;
    private final Optional<String> credential;

    EntryApi(HostAndPort address, RatpackHttpClient httpClient, Optional<String> credential) {
        this.address = address;
        this.httpClient = httpClient;
        this.credential = credential;
    }

    HostAndPort address() {
        return address;
    }

    Either<CommandFailure, JsonNode> get(String path) {
        return send(HttpRequest.get(address, path), ExitCode.UNREACHABLE);
    }

    Either<CommandFailure, JsonNode> post(String path, JsonNode body) {
        return send(HttpRequest.post(address, path, body.toString()), ExitCode.OUTCOME_UNKNOWN);
    }

    private Either<CommandFailure, JsonNode> send(HttpRequest request, ExitCode exitCodeIfResponseLost) {
        return httpClient
                .send(request.withCredential(credential))
                .mapLeft(fault -> toCommandFailure(fault, exitCodeIfResponseLost))
                .flatMap(this::toResult);
    }

    private CommandFailure toCommandFailure(HttpFault fault, ExitCode exitCodeIfResponseLost) {
        return switch (fault) {
            case NOT_SENT -> CommandFailure.of(ExitCode.UNREACHABLE, "entry " + address + " cannot be reached");
            case RESPONSE_LOST -> CommandFailure.of(exitCodeIfResponseLost, "entry " + address + " did not answer");
        };
    }

    private Either<CommandFailure, JsonNode> toResult(HttpResponse response) {
        JsonNode body = parse(response.body());
        return response.isSuccess() ? Either.right(body) : Either.left(refusal(response.status(), body));
    }

    private CommandFailure refusal(int status, JsonNode body) {
        String kind = body.path("error").asText("status " + status);
        String firstLine = "entry " + address + " refused: " + kind + ": "
                + body.path("detail").asText("");
        return new CommandFailure(
                exitCode(kind, body),
                Stream.concat(
                                Stream.of(firstLine),
                                Stream.concat(texts(body.path("faults")), texts(body.path("changes"))))
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
        } catch (JsonProcessingException _invalidJson) {
            return MissingNode.getInstance();
        }
    }
}
