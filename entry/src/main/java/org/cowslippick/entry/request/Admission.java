package org.cowslippick.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Supplier;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.settings.SettingsTree;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Contract;
import org.cowslippick.core.world.Endpoint;
import org.cowslippick.core.world.EndpointKind;
import org.cowslippick.core.world.Instance;
import org.cowslippick.core.world.OrganisationName;
import org.cowslippick.core.world.PoolKey;
import org.cowslippick.core.world.Service;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.core.world.Tier;
import org.cowslippick.entry.endpoint.EndpointCall;
import org.cowslippick.entry.endpoint.Json;
import org.cowslippick.fleet.claim.TicketCodec;

/** Authenticates callers, authorises their use of services and tiers, and validates requests. */
public final class Admission {

    private static final String BEARER = "Bearer ";

    private final Instance self;
    private final TimerService timer;
    private final Supplier<SettingsTree> settings;
    private final TicketCodec tickets;

    /** Creates an admission that reads the current settings for each request. */
    public Admission(Instance self, TimerService timer, Supplier<SettingsTree> settings, TicketCodec tickets) {
        this.tickets = tickets;
        this.self = self;
        this.timer = timer;
        this.settings = settings;
    }

    /** Returns the organisation to which the caller's credential belongs. */
    public Either<Failure, OrganisationName> authenticate(Optional<String> authorization) {
        return authorization
                .filter(header -> header.startsWith(BEARER))
                .map(header -> header.substring(BEARER.length()).strip())
                .flatMap(credential -> settings.get().organisation(credential))
                .<Either<Failure, OrganisationName>>map(Either::right)
                .orElseGet(() ->
                        Either.left(Failure.of(ErrorKind.UNAUTHENTICATED, "the credential is missing or unknown")));
    }

    /** Whether the credential is an operator's. */
    public boolean isOperator(Optional<String> authorization) {
        return authorization
                .filter(header -> header.startsWith(BEARER))
                .map(header -> header.substring(BEARER.length()).strip())
                .filter(settings.get()::isOperator)
                .isPresent();
    }

    /** Finds a service by the name that a path or body gives. */
    public Either<Failure, Service> findService(String name) {
        return Optional.of(name)
                .filter(text -> text.matches("[A-Za-z0-9._-]{1,100}") && Character.isLetterOrDigit(text.charAt(0)))
                .flatMap(text -> settings.get().service(new ServiceName(text)))
                .<Either<Failure, Service>>map(Either::right)
                .orElseGet(
                        () -> Either.left(Failure.of(ErrorKind.UNKNOWN_SERVICE, "unknown service \"" + name + "\"")));
    }

    /** Admits a request to a service, or returns the reason for refusing it. */
    public Either<Failure, AdmittedRequest> admit(CallerHeaders headers, String serviceName, String body) {
        SettingsTree tree = settings.get();
        return authenticate(headers.authorization()).flatMap(organisation -> findService(serviceName)
                .flatMap(service -> selectTier(tree, organisation, service, headers)
                        .flatMap(tier ->
                                buildRequest(headers, service, tree.contract(organisation, service, tier), body))));
    }

    private static Either<Failure, Tier> selectTier(
            SettingsTree tree, OrganisationName organisation, Service service, CallerHeaders headers) {
        ImmutableList<Tier> entitled = tree.entitledTiers(organisation, service.name());
        if (headers.tier().isEmpty()) {
            return entitled.stream()
                    .findFirst()
                    .<Either<Failure, Tier>>map(Either::right)
                    .orElseGet(() -> Either.left(Failure.of(
                            ErrorKind.NOT_ENTITLED,
                            "organisation " + organisation + " is not entitled to any tier of service "
                                    + service.name())));
        }
        String requestedTier = headers.tier().get();
        return entitled.stream()
                .filter(tier -> tier.name().value().equals(requestedTier))
                .findFirst()
                .<Either<Failure, Tier>>map(Either::right)
                .orElseGet(() -> Either.left(tierFailure(tree, organisation, service, requestedTier)));
    }

    private static Failure tierFailure(
            SettingsTree tree, OrganisationName organisation, Service service, String requestedTier) {
        boolean exists =
                tree.tiers().stream().anyMatch(tier -> tier.name().value().equals(requestedTier));
        return exists
                ? Failure.of(
                        ErrorKind.NOT_ENTITLED,
                        "organisation " + organisation + " is not entitled to tier " + requestedTier + " of service "
                                + service.name())
                : Failure.of(ErrorKind.UNKNOWN_TIER, "unknown tier \"" + requestedTier + "\"");
    }

    private Either<Failure, AdmittedRequest> buildRequest(
            CallerHeaders headers, Service service, Contract contract, String body) {
        return ValidatedHeaders.parse(headers, contract, tickets).flatMap(checked -> parseJson(body)
                .flatMap(json -> service.kind() == EndpointKind.MODEL
                        ? modelRequest(checked, service, contract, json)
                        : Either.right(applicationRequest(checked, service, contract, body))));
    }

    private static Either<Failure, JsonNode> parseJson(String body) {
        return Json.read(body)
                .<Either<Failure, JsonNode>>map(Either::right)
                .orElseGet(() -> Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, "the body is not valid JSON")));
    }

    private Either<Failure, AdmittedRequest> modelRequest(
            ValidatedHeaders headers, Service service, Contract contract, JsonNode json) {
        return ModelBody.parse(json)
                .map(body -> createRequest(
                        headers,
                        service,
                        contract,
                        PromptProfile.of(body.promptText()),
                        body.answerTokens(),
                        new EndpointCall.ModelCall(service.model(), body.messages(), body.answerTokens())));
    }

    private AdmittedRequest applicationRequest(
            ValidatedHeaders headers, Service service, Contract contract, String body) {
        return createRequest(
                headers,
                service,
                contract,
                PromptProfile.of(body),
                0,
                new EndpointCall.ApplicationCall(service.name(), body));
    }

    private AdmittedRequest createRequest(
            ValidatedHeaders headers,
            Service service,
            Contract contract,
            PromptProfile profile,
            int answerTokens,
            EndpointCall call) {
        RequestDescriptor descriptor = new RequestDescriptor(
                RequestId.random(),
                self.name(),
                self.region(),
                contract.organisation(),
                service.name(),
                contract.tier(),
                service.dispatchRule(),
                timer.nanoTime(),
                contract.firstToken().toNanos(),
                headers.deadlineNanos(),
                profile.tokens(),
                answerTokens,
                contract.crossRegion(),
                profile.prefixHashes(),
                profile.fingerprint());
        return new AdmittedRequest(
                descriptor, contract, selectPool(service, contract), call, headers.idempotencyKey(), headers.ticket());
    }

    /** Selects the local region's pool, or that of another region if there is none and the contract covers the link. */
    private PoolKey selectPool(Service service, Contract contract) {
        PoolKey localPool = new PoolKey(service.pool(), self.region());
        ImmutableList<PoolKey> pools = settings.get().endpoints().stream()
                .filter(endpoint -> endpoint.pool().equals(service.pool()))
                .map(Endpoint::poolKey)
                .distinct()
                .sorted()
                .collect(ImmutableList.toImmutableList());
        return pools.contains(localPool) || pools.isEmpty() || !contract.crossRegion() ? localPool : pools.get(0);
    }
}
