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
import org.cowslippick.cli.http.HttpAnswer;
import org.cowslippick.cli.http.HttpCall;
import org.cowslippick.cli.http.HttpCalls;
import org.cowslippick.cli.http.HttpFault;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.time.TimerService;

/**
 * Sends requests as a caller of the system. It asks any known entry which entries to use, keeps the answer for as long
 * as that says, and moves to the next entry only if the request certainly did not run. Every attempt of a request
 * carries the same idempotency key and the ticket that was in force when it was first sent.
 */
public final class CallerClient {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ImmutableList<HostAndPort> known;
    private final Optional<String> credential;
    private final HttpCalls calls;
    private final TimerService timer;
    private final ConcurrentHashMap<String, Addresses> kept = new ConcurrentHashMap<>();

    /** Creates a client that asks the known entries, in this order, for the addresses to use. */
    public CallerClient(ImmutableList<HostAndPort> known, String credential, HttpCalls calls, TimerService timer) {
        this.known = known;
        this.credential = Optional.of(credential);
        this.calls = calls;
        this.timer = timer;
    }

    /** Sends a request and waits for its whole answer. */
    public Either<CallerFailure, CallerAnswer> send(CallerRequest request) {
        return attempt(request, call -> calls.call(call)).map(answer -> {
            JsonNode body = parse(answer.body());
            return new CallerAnswer(body.path("answer"), body.path("receipt"));
        });
    }

    /** Sends a request whose body asks for a stream; tokens are handed on as they come. Returns the receipt. */
    public Either<CallerFailure, JsonNode> stream(CallerRequest request, Consumer<String> tokens) {
        return attempt(request, call -> {
                    StreamReader reader = new StreamReader(tokens);
                    return calls.startStream(call, reader::line)
                            .join()
                            .map(answer -> answer.successful() ? reader.ended() : answer);
                })
                .map(answer -> parse(answer.body()));
    }

    private Either<CallerFailure, HttpAnswer> attempt(
            CallerRequest request, Function<HttpCall, Either<HttpFault, HttpAnswer>> send) {
        return addresses(request.service()).flatMap(addresses -> {
            Either<CallerFailure, HttpAnswer> last = Either.left(unreachable("no entry was named"));
            for (HostAndPort entry : addresses.entries()) {
                last = send.apply(call(entry, request, addresses.ticket()))
                        .mapLeft(fault -> failure(fault, entry))
                        .flatMap(CallerClient::read);
                if (last.isRight() || !last.getLeft().elsewhere()) {
                    return last;
                }
                kept.remove(request.service());
            }
            return last;
        });
    }

    private HttpCall call(HostAndPort entry, CallerRequest request, String ticket) {
        HttpCall call = HttpCall.post(entry, "/v1/services/" + request.service() + "/requests", request.body())
                .withCredential(credential)
                .with("Idempotency-Key", request.idempotencyKey());
        HttpCall ticketed = ticket.isEmpty() ? call : call.with("X-Ticket", ticket);
        HttpCall tiered =
                request.tier().map(tier -> ticketed.with("X-Tier", tier)).orElse(ticketed);
        return request.deadline()
                .map(deadline -> tiered.with("X-Deadline-Milliseconds", Long.toString(deadline.toMillis())))
                .orElse(tiered);
    }

    private Either<CallerFailure, Addresses> addresses(String service) {
        Addresses cached = kept.get(service);
        if (cached != null && cached.keptUntilNanos() - timer.nanoTime() > 0) {
            return Either.right(cached);
        }
        Either<CallerFailure, Addresses> last = Either.left(unreachable("no entry is known"));
        for (HostAndPort entry : known) {
            last = ask(entry, service);
            if (last.isRight() || !last.getLeft().elsewhere()) {
                break;
            }
        }
        last.forEach(found -> kept.put(service, found));
        return last;
    }

    private Either<CallerFailure, Addresses> ask(HostAndPort entry, String service) {
        String path =
                "/v1/addresses?service=" + UrlEscapers.urlFormParameterEscaper().escape(service);
        return calls.call(HttpCall.get(entry, path).withCredential(credential))
                .mapLeft(_fault -> unreachable("entry " + entry + " cannot be reached"))
                .flatMap(CallerClient::read)
                .map(answer -> addresses(parse(answer.body())));
    }

    private Addresses addresses(JsonNode body) {
        ImmutableList<HostAndPort> entries = Streams.stream(body.path("addresses"))
                .map(address -> HostAndPort.fromString(address.asText()))
                .collect(ImmutableList.toImmutableList());
        long keep = TimeUnit.MILLISECONDS.toNanos(body.path("keepMilliseconds").asLong());
        return new Addresses(entries, body.path("ticket").asText(), timer.nanoTime() + keep);
    }

    private static Either<CallerFailure, HttpAnswer> read(HttpAnswer answer) {
        if (answer.successful()) {
            return Either.right(answer);
        }
        JsonNode body = parse(answer.body());
        Outcome outcome =
                body.path("outcome").asText().equals(Outcome.NOT_RUN.text()) ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return Either.left(new CallerFailure(
                body.path("error").asText("status " + answer.status()),
                outcome,
                body.path("detail").asText("")));
    }

    private static CallerFailure failure(HttpFault fault, HostAndPort entry) {
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
        } catch (JsonProcessingException _notJson) {
            return MissingNode.getInstance();
        }
    }
}
