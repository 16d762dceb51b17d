package org.cowslippick.cli.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cowslippick.cli.http.HttpCalls;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.time.ManualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

final class CallerClientTest {

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final HostAndPort NOWHERE = HostAndPort.fromString("127.0.0.1:1");
    private static final CallerRequest REQUEST = CallerRequest.of("chat", "key-1", "{}");

    private final List<String> seen = new CopyOnWriteArrayList<>();
    private final ManualTimerService timer = new ManualTimerService();
    private final HttpCalls calls = new HttpCalls(READ_TIMEOUT);
    private RatpackServer server;
    private volatile boolean namesUnreachableFirst;
    private volatile int status = 200;
    private volatile String answer = "{\"answer\": \"hello\", \"receipt\": {\"kept\": true}}";

    @BeforeEach
    void start() throws Exception {
        server = RatpackServer.start(
                spec -> spec.serverConfig(config -> config.development(false).port(0))
                        .handlers(chain -> chain.get("v1/addresses", this::addresses)
                                .post("v1/services/:service/requests", this::request)));
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
        calls.close();
    }

    @Test
    void asksForAddressesOnlyAfterTheyExpired() {
        CallerClient client = client(ImmutableList.of(NOWHERE, here()));
        assertEquals("hello", client.send(REQUEST).get().answer().asText());
        assertTrue(client.send(REQUEST).get().receipt().path("kept").asBoolean());
        assertEquals(1, count("addresses"));
        timer.advance(Duration.ofMillis(1001));
        assertTrue(client.send(REQUEST).isRight());
        assertEquals(2, count("addresses"));
        assertEquals(3, count("key-1 ticket-1 Bearer secret"));
    }

    @Test
    void tellsTheOutcomeOfARefusedRequest() {
        status = 503;
        answer = "{\"error\": \"shed\", \"outcome\": \"not-run\", \"detail\": \"full\"}";
        assertEquals(
                new CallerFailure("shed", Outcome.NOT_RUN, "full"),
                client(ImmutableList.of(here())).send(REQUEST).getLeft());
        assertEquals(1, count("key-1"));
    }

    @Test
    void movesOnFromAnUnreachableEntryAndAsksAgainNextTime() {
        namesUnreachableFirst = true;
        CallerClient client = client(ImmutableList.of(here()));
        assertTrue(client.send(REQUEST).isRight());
        assertTrue(client.send(REQUEST).isRight());
        assertEquals(2, count("addresses"));
    }

    @Test
    void triesTheNextEntryWhenOneIsDraining() {
        status = 503;
        answer = "{\"error\": \"entry-draining\", \"outcome\": \"not-run\", \"detail\": \"leaving\"}";
        assertEquals(
                "entry-draining",
                client(ImmutableList.of(here())).send(REQUEST).getLeft().kind());
        assertEquals(2, count("key-1 ticket-1"));
    }

    @Test
    void readsAStreamAndItsReceipt() {
        answer = "event: token\ndata: {\"offset\":0,\"text\":\"grüß\"}\n\n"
                + "event: token\ndata: {\"offset\":1,\"text\":\" dich\"}\n\nevent: receipt\ndata: {\"kept\":true}\n\n";
        List<String> tokens = new ArrayList<>();
        assertTrue(client(ImmutableList.of(here())).stream(REQUEST, tokens::add)
                .get()
                .path("kept")
                .asBoolean());
        assertEquals(List.of("grüß", " dich"), tokens);
    }

    @Test
    void aStreamThatEndsWithoutReceiptHasAnUnknownOutcome() {
        answer = "event: token\ndata: {\"offset\":0,\"text\":\"a\"}\n\n";
        Either<CallerFailure, ?> result = client(ImmutableList.of(here())).stream(REQUEST, _token -> {});
        assertEquals(Outcome.UNKNOWN, result.getLeft().outcome());
    }

    private CallerClient client(ImmutableList<HostAndPort> known) {
        return new CallerClient(known, "secret", calls, timer);
    }

    private HostAndPort here() {
        return HostAndPort.fromParts("127.0.0.1", server.getBindPort());
    }

    private long count(String text) {
        return seen.stream().filter(call -> call.contains(text)).count();
    }

    private void addresses(Context context) {
        seen.add("addresses");
        HostAndPort first = namesUnreachableFirst ? NOWHERE : here();
        context.getResponse()
                .send(
                        "application/json",
                        "{\"addresses\": [\"" + first + "\", \"" + here()
                                + "\"], \"keepMilliseconds\": 1000, \"ticket\": \"ticket-1\"}");
    }

    private void request(Context context) {
        seen.add(String.join(
                " ",
                header(context, "Idempotency-Key"),
                header(context, "X-Ticket"),
                header(context, "Authorization")));
        context.getResponse().status(status).send("application/json", answer);
    }

    private static String header(Context context, String name) {
        return context.getRequest().getHeaders().get(name);
    }
}
