package org.cowslippick.cli.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Streams;
import com.google.common.net.HostAndPort;
import com.google.common.net.UrlEscapers;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cowslippick.cli.http.HttpFault;
import org.cowslippick.cli.http.HttpRequest;
import org.cowslippick.cli.http.HttpResponse;
import org.cowslippick.cli.http.RatpackHttpClient;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.time.TimerService;

/**
 * Sends requests as a caller of the system. The client asks a known entry for the entries to use, caches their
 * addresses until they expire, and tries the next entry only if the request certainly did not run. All attempts of one
 * call carry the same idempotency key and the ticket that was valid at the first attempt.
 */
public final class CallerClient {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ImmutableList<HostAndPort> knownEntries;
    private final Optional<String> credential;
    private final RatpackHttpClient httpClient;
    private final TimerService timer;
    private final ConcurrentHashMap<String, EntryAddresses> cachedAddresses = new ConcurrentHashMap<>();

    /** Creates a client that asks the known entries, in the given order, for the addresses to use. */
    public CallerClient(
            ImmutableList<HostAndPort> knownEntries,
            String credential,
            RatpackHttpClient httpClient,
            TimerService timer) {
        this.knownEntries = knownEntries;
        this.credential = Optional.of(credential);
        this.httpClient = httpClient;
        this.timer = timer;
    }

    /** Sends a request and waits for its complete answer. */
    public Either<CallerFailure, CallerResponse> send(CallerRequest request) {
        return attempt(request, httpClient::send).map(response -> {
            JsonNode body = parse(response.body());
            return new CallerResponse(body.path("answer"), body.path("receipt"));
        });
    }

    /** Sends a request whose body asks for a stream, passes on tokens as they arrive and returns the receipt. */
    public Either<CallerFailure, JsonNode> stream(CallerRequest request, Consumer<String> tokenConsumer) {
        return attempt(request, httpRequest -> {
                    EventStreamReader reader = new EventStreamReader(tokenConsumer);
                    return httpClient
                            .streamAsync(httpRequest, reader::acceptLine)
                            .join()
                            .map(response -> response.isSuccess() ? reader.result() : response);
                })
                .map(response -> parse(response.body()));
    }

    private Either<CallerFailure, HttpResponse> attempt(
            CallerRequest request, Function<HttpRequest, Either<HttpFault, HttpResponse>> send) {
        return addresses(request.service()).flatMap(addresses -> {
            Either<CallerFailure, HttpResponse> last =
                    Either.left(unreachable("the address list of service \"" + request.service() + "\" is empty"));
            for (HostAndPort entry : addresses.entries()) {
                last = send.apply(toHttpRequest(entry, request, addresses.ticket()))
                        .mapLeft(fault -> toCallerFailure(fault, entry))
                        .flatMap(CallerClient::checkStatus);
                if (last.isRight() || !last.getLeft().isRetryableOnOtherEntry()) {
                    return last;
                }
                cachedAddresses.remove(request.service());
            }
            return last;
        });
    }

    private HttpRequest toHttpRequest(HostAndPort entry, CallerRequest request, String ticket) {
        HttpRequest httpRequest = HttpRequest.post(
                        entry, "/v1/services/" + request.service() + "/requests", request.body())
                .withCredential(credential)
                .withHeader("Idempotency-Key", request.idempotencyKey());
        HttpRequest withTicket = ticket.isEmpty() ? httpRequest : httpRequest.withHeader("X-Ticket", ticket);
        HttpRequest withTier = request.tier()
                .map(tier -> withTicket.withHeader("X-Tier", tier))
                .orElse(withTicket);
        return request.deadline()
                .map(deadline -> withTier.withHeader("X-Deadline-Milliseconds", Long.toString(deadline.toMillis())))
                .orElse(withTier);
    }

    private Either<CallerFailure, EntryAddresses> addresses(String service) {
        EntryAddresses cached = cachedAddresses.get(service);
        if (cached != null && cached.expiresAtNanos() - timer.nanoTime() > 0) {
            return Either.right(cached);
        }
        Either<CallerFailure, EntryAddresses> last = Either.left(unreachable("no entry address is configured"));
        for (HostAndPort entry : knownEntries) {
            last = fetchAddresses(entry, service);
            if (last.isRight() || !last.getLeft().isRetryableOnOtherEntry()) {
                break;
            }
        }
        last.forEach(found -> cachedAddresses.put(service, found));
        return last;
    }

    private Either<CallerFailure, EntryAddresses> fetchAddresses(HostAndPort entry, String service) {
        String path =
                "/v1/addresses?service=" + UrlEscapers.urlFormParameterEscaper().escape(service);
        return httpClient
                .send(HttpRequest.get(entry, path).withCredential(credential))
                .mapLeft(_fault -> unreachable("entry " + entry + " cannot be reached"))
                .flatMap(CallerClient::checkStatus)
                .map(response -> parseAddresses(parse(response.body())));
    }

    private EntryAddresses parseAddresses(JsonNode body) {
        ImmutableList<HostAndPort> entries = Streams.stream(body.path("addresses"))
                .map(address -> HostAndPort.fromString(address.asText()))
                .collect(ImmutableList.toImmutableList());
        long lifetimeNanos =
                TimeUnit.MILLISECONDS.toNanos(body.path("keepMilliseconds").asLong());
        return new EntryAddresses(entries, body.path("ticket").asText(), timer.nanoTime() + lifetimeNanos);
    }

    private static Either<CallerFailure, HttpResponse> checkStatus(HttpResponse response) {
        if (response.isSuccess()) {
            return Either.right(response);
        }
        JsonNode body = parse(response.body());
        Outcome outcome =
                body.path("outcome").asText().equals(Outcome.NOT_RUN.text()) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return Either.left(new CallerFailure(
                body.path("error").asText("status " + response.status()),
                outcome,
                body.path("detail").asText("")));
    }

    private static CallerFailure toCallerFailure(HttpFault fault, HostAndPort entry) {
        return fault == HttpFault.NOT_SENT
                ? unreachable("entry " + entry + " cannot be reached")
                : new CallerFailure(
                        CallerFailure.ANSWER_LOST, Outcome.UNKNOWN, "entry " + entry + " did not answer in full");
    }

    private static CallerFailure unreachable(String detail) {
        return new CallerFailure(CallerFailure.UNREACHABLE, Outcome.NOT_RUN, detail);
    }

    static JsonNode parse(String body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException _invalidJson) {
            return MissingNode.getInstance();
        }
    }
}
