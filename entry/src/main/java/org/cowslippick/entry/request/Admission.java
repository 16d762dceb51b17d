package org.cowslippick.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.IdempotencyKey;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Contract;
import org.cowslippick.core.world.EndpointKind;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.Service;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;
import org.cowslippick.entry.endpoint.EndpointCall;
import org.cowslippick.entry.endpoint.Json;

/** Checks who sends a request, what it may use and whether it is well formed. */
public final class Admission {

    private static final String BEARER = "Bearer ";
    private static final int DEFAULT_ANSWER_TOKENS = 256;
    private static final int MAXIMUM_ANSWER_TOKENS = 131_072;
    private static final long NANOS_PER_MILLISECOND = 1_000_000L;
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = 86_400_000L;

    private final Instance self;
    private final TimerService timer;
    private final Supplier<SettingsTree> settings;

    /** Creates an admission that always uses the newest settings. */
    public Admission(Instance self, TimerService timer, Supplier<SettingsTree> settings) {
        this.self = self;
        this.timer = timer;
        this.settings = settings;
    }

    /** Finds the organisation of a caller's credential. */
    public Either<Failure, OrganisationName> organisation(Optional<String> authorization) {
        return authorization
                .filter(header -> header.startsWith(BEARER))
                .map(header -> header.substring(BEARER.length()).strip())
                .flatMap(credential -> settings.get().organisation(credential))
                .<Either<Failure, OrganisationName>>map(Either::right)
                .orElseGet(() -> Either.left(Failure.of(ErrorKind.UNAUTHENTICATED, "the credential is not known")));
    }

    /** Whether the credential is an operator's. */
    public boolean operator(Optional<String> authorization) {
        return authorization
                .filter(header -> header.startsWith(BEARER))
                .map(header -> header.substring(BEARER.length()).strip())
                .filter(settings.get()::operator)
                .isPresent();
    }

    /** Finds a service by the name in a path or body. */
    public Either<Failure, Service> service(String name) {
        return Optional.of(name)
                .filter(text -> text.matches("[A-Za-z0-9._-]{1,100}") && Character.isLetterOrDigit(text.charAt(0)))
                .flatMap(text -> settings.get().service(new ServiceName(text)))
                .<Either<Failure, Service>>map(Either::right)
                .orElseGet(() ->
                        Either.left(Failure.of(ErrorKind.UNKNOWN_SERVICE, "there is no service \"" + name + "\"")));
    }

    /** Checks a request to a service. */
    public Either<Failure, AdmittedRequest> admit(CallerHeaders headers, String serviceName, String body) {
        SettingsTree tree = settings.get();
        return organisation(headers.authorization()).flatMap(organisation -> service(serviceName)
                .flatMap(service -> tier(tree, organisation, service, headers)
                        .flatMap(tier -> build(headers, service, tree.contract(organisation, service, tier), body))));
    }

    private static Either<Failure, Tier> tier(
            SettingsTree tree, OrganisationName organisation, Service service, CallerHeaders headers) {
        ImmutableList<Tier> entitled = tree.entitledTiers(organisation, service.name());
        if (headers.tier().isEmpty()) {
            return entitled.stream()
                    .findFirst()
                    .<Either<Failure, Tier>>map(Either::right)
                    .orElseGet(() -> Either.left(Failure.of(
                            ErrorKind.NOT_ENTITLED,
                            "organisation " + organisation + " has no tier for service " + service.name())));
        }
        String wanted = headers.tier().get();
        return entitled.stream()
                .filter(tier -> tier.name().value().equals(wanted))
                .findFirst()
                .<Either<Failure, Tier>>map(Either::right)
                .orElseGet(() -> Either.left(tierFailure(tree, organisation, service, wanted)));
    }

    private static Failure tierFailure(
            SettingsTree tree, OrganisationName organisation, Service service, String wanted) {
        boolean exists =
                tree.tiers().stream().anyMatch(tier -> tier.name().value().equals(wanted));
        return exists
                ? Failure.of(
                        ErrorKind.NOT_ENTITLED,
                        "organisation " + organisation + " may not use tier " + wanted + " for service "
                                + service.name())
                : Failure.of(ErrorKind.UNKNOWN_TIER, "there is no tier \"" + wanted + "\"");
    }

    private Either<Failure, AdmittedRequest> build(
            CallerHeaders headers, Service service, Contract contract, String body) {
        Optional<JsonNode> json = Json.read(body);
        if (json.isEmpty()) {
            return malformed("the body is not JSON");
        }
        Optional<Long> deadlineNanos = deadlineNanos(headers, contract);
        if (deadlineNanos.isEmpty()) {
            return malformed("X-Deadline-Milliseconds must be a whole number from 1 to " + MAXIMUM_DEADLINE_MILLISECONDS
                    + ": " + headers.deadlineMilliseconds().orElse(""));
        }
        if (headers.idempotencyKey()
                .filter(key -> key.isEmpty() || key.length() > IdempotencyKey.MAXIMUM_LENGTH_CHARACTERS)
                .isPresent()) {
            return malformed(
                    "Idempotency-Key must have 1 to " + IdempotencyKey.MAXIMUM_LENGTH_CHARACTERS + " characters");
        }
        return service.kind() == EndpointKind.MODEL
                ? model(headers, service, contract, deadlineNanos.get(), json.get())
                : Either.right(request(
                        headers,
                        service,
                        contract,
                        deadlineNanos.get(),
                        PromptProfile.of(body),
                        0,
                        new EndpointCall.ApplicationCall(service.name(), body)));
    }

    private Either<Failure, AdmittedRequest> model(
            CallerHeaders headers, Service service, Contract contract, long deadlineNanos, JsonNode json) {
        Optional<String> messages = messages(json);
        if (messages.isEmpty()) {
            return malformed(
                    "the body needs \"prompt\" as text, or \"messages\" with \"role\" and \"content\" as text");
        }
        int answerTokens = answerTokens(json);
        if (answerTokens < 1 || answerTokens > MAXIMUM_ANSWER_TOKENS) {
            return malformed("the answer tokens must be a whole number from 1 to " + MAXIMUM_ANSWER_TOKENS);
        }
        return Either.right(request(
                headers,
                service,
                contract,
                deadlineNanos,
                PromptProfile.of(promptText(messages.get())),
                answerTokens,
                new EndpointCall.ModelCall(service.model(), messages.get(), answerTokens)));
    }

    private AdmittedRequest request(
            CallerHeaders headers,
            Service service,
            Contract contract,
            long deadlineNanos,
            PromptProfile profile,
            int answerTokens,
            EndpointCall call) {
        Region region = self.region();
        RequestDescriptor descriptor = new RequestDescriptor(
                RequestId.random(),
                self.name(),
                region,
                contract.organisation(),
                service.name(),
                contract.tier(),
                service.dispatchRule(),
                timer.nanoTime(),
                contract.firstToken().toNanos(),
                deadlineNanos,
                profile.tokens(),
                answerTokens,
                contract.crossRegion(),
                profile.prefixHashes(),
                profile.fingerprint());
        return new AdmittedRequest(
                descriptor,
                contract,
                new PoolKey(service.pool(), region),
                call,
                headers.idempotencyKey().map(key -> new IdempotencyKey(contract.organisation(), key)),
                headers.ticket());
    }

    private static Optional<Long> deadlineNanos(CallerHeaders headers, Contract contract) {
        if (headers.deadlineMilliseconds().isEmpty()) {
            return Optional.of(contract.deadline().toNanos());
        }
        return Optional.ofNullable(Longs.tryParse(headers.deadlineMilliseconds().get()))
                .filter(milliseconds -> milliseconds >= 1 && milliseconds <= MAXIMUM_DEADLINE_MILLISECONDS)
                .map(milliseconds -> milliseconds * NANOS_PER_MILLISECOND);
    }

    private static int answerTokens(JsonNode json) {
        JsonNode own = json.path("maximumAnswerTokens");
        JsonNode openAi = json.path("max_tokens");
        if (own.isMissingNode() && openAi.isMissingNode()) {
            return DEFAULT_ANSWER_TOKENS;
        }
        JsonNode given = own.isMissingNode() ? openAi : own;
        return given.canConvertToInt() ? given.asInt() : 0;
    }

    private static Optional<String> messages(JsonNode json) {
        JsonNode prompt = json.path("prompt");
        if (prompt.isTextual()) {
            return Optional.of("[{\"role\":\"user\",\"content\":" + Json.write(prompt) + "}]");
        }
        JsonNode messages = json.path("messages");
        boolean wellFormed = messages.isArray()
                && !messages.isEmpty()
                && StreamSupport.stream(messages.spliterator(), false)
                        .allMatch(message -> message.path("role").isTextual()
                                && message.path("content").isTextual());
        return wellFormed ? Optional.of(Json.write(messages)) : Optional.empty();
    }

    private static String promptText(String messages) {
        JsonNode array = Json.read(messages).orElseThrow();
        return StreamSupport.stream(array.spliterator(), false)
                .map(message -> message.path("content").asText())
                .collect(Collectors.joining("\n"));
    }

    private static Either<Failure, AdmittedRequest> malformed(String detail) {
        return Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, detail));
    }
}
