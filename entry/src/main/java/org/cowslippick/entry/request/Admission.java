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

/** Checks who sends a request, what it may use and whether it is well formed. */
public final class Admission {

    private static final String BEARER = "Bearer ";

    private final Instance self;
    private final TimerService timer;
    private final Supplier<SettingsTree> settings;
    private final TicketCodec tickets;

    /** Creates an admission that always uses the newest settings. */
    public Admission(Instance self, TimerService timer, Supplier<SettingsTree> settings, TicketCodec tickets) {
        this.tickets = tickets;
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
                .filter(settings.get()::isOperator)
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
        return CheckedHeaders.of(headers, contract, tickets).flatMap(checked -> json(body)
                .flatMap(json -> service.kind() == EndpointKind.MODEL
                        ? model(checked, service, contract, json)
                        : Either.right(application(checked, service, contract, body))));
    }

    private static Either<Failure, JsonNode> json(String body) {
        return Json.read(body)
                .<Either<Failure, JsonNode>>map(Either::right)
                .orElseGet(() -> Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, "the body is not JSON")));
    }

    private Either<Failure, AdmittedRequest> model(
            CheckedHeaders headers, Service service, Contract contract, JsonNode json) {
        return ModelBody.parse(json)
                .map(body -> request(
                        headers,
                        service,
                        contract,
                        PromptProfile.of(body.promptText()),
                        body.answerTokens(),
                        new EndpointCall.ModelCall(service.model(), body.messages(), body.answerTokens())));
    }

    private AdmittedRequest application(CheckedHeaders headers, Service service, Contract contract, String body) {
        return request(
                headers,
                service,
                contract,
                PromptProfile.of(body),
                0,
                new EndpointCall.ApplicationCall(service.name(), body));
    }

    private AdmittedRequest request(
            CheckedHeaders headers,
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
                descriptor, contract, pool(service, contract), call, headers.idempotencyKey(), headers.ticket());
    }

    /** The pool of the caller's region, or of another where this one has none and the contract pays for the link. */
    private PoolKey pool(Service service, Contract contract) {
        PoolKey home = new PoolKey(service.pool(), self.region());
        ImmutableList<PoolKey> pools = settings.get().endpoints().stream()
                .filter(endpoint -> endpoint.pool().equals(service.pool()))
                .map(Endpoint::poolKey)
                .distinct()
                .sorted()
                .collect(ImmutableList.toImmutableList());
        return pools.contains(home) || pools.isEmpty() || !contract.crossRegion() ? home : pools.get(0);
    }
}
