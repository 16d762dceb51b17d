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
import org.cowslippick.cli.http.RatpackHttpClient;
import org.cowslippick.core.error.Outcome;
import org.cowslippick.core.time.ManualTimerService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

final class CallerClientTest {

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final HostAndPort UNREACHABLE_ADDRESS = HostAndPort.fromString("127.0.0.1:1");
    private static final CallerRequest REQUEST = CallerRequest.of("chat", "key-1", "{}");

    private final List<String> receivedRequests = new CopyOnWriteArrayList<>();
    private final ManualTimerService timer = new ManualTimerService();
    private final RatpackHttpClient httpClient = new RatpackHttpClient(READ_TIMEOUT);
    private RatpackServer server;
    private volatile boolean listsUnreachableEntryFirst;
    private volatile int status = 200;
    private volatile String responseBody = "{\"answer\": \"hello\", \"receipt\": {\"kept\": true}}";

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
        httpClient.close();
    }

    @Test
    void asksForAddressesAgainOnlyAfterTheyExpired() {
        CallerClient client = client(ImmutableList.of(UNREACHABLE_ADDRESS, serverAddress()));
        assertEquals("hello", client.send(REQUEST).get().answer().asText());
        assertTrue(client.send(REQUEST).get().receipt().path("kept").asBoolean());
        assertEquals(1, count("addresses"));
        timer.advance(Duration.ofMillis(1001));
        assertTrue(client.send(REQUEST).isRight());
        assertEquals(2, count("addresses"));
        assertEquals(3, count("key-1 ticket-1 Bearer secret"));
    }

    @Test
    void reportsTheOutcomeOfARefusedRequest() {
        status = 503;
        responseBody = "{\"error\": \"shed\", \"outcome\": \"not-run\", \"detail\": \"full\"}";
        assertEquals(
                new CallerFailure("shed", Outcome.NOT_RUN, "full"),
                client(ImmutableList.of(serverAddress())).send(REQUEST).getLeft());
        assertEquals(1, count("key-1"));
    }

    @Test
    void triesTheNextEntryAndDiscardsCachedAddressesWhenOneIsUnreachable() {
        listsUnreachableEntryFirst = true;
        CallerClient client = client(ImmutableList.of(serverAddress()));
        assertTrue(client.send(REQUEST).isRight());
        assertTrue(client.send(REQUEST).isRight());
        assertEquals(2, count("addresses"));
    }

    @Test
    void triesTheNextEntryWhenOneIsDraining() {
        status = 503;
        responseBody = "{\"error\": \"entry-draining\", \"outcome\": \"not-run\", \"detail\": \"leaving\"}";
        assertEquals(
                "entry-draining",
                client(ImmutableList.of(serverAddress()))
                        .send(REQUEST)
                        .getLeft()
                        .kind());
        assertEquals(2, count("key-1 ticket-1"));
    }

    @Test
    void readsAStreamAndItsReceipt() {
        responseBody = "event: token\ndata: {\"offset\":0,\"text\":\"grüß\"}\n\n"
                + "event: token\ndata: {\"offset\":1,\"text\":\" dich\"}\n\nevent: receipt\ndata: {\"kept\":true}\n\n";
        List<String> tokens = new ArrayList<>();
        assertTrue(client(ImmutableList.of(serverAddress())).stream(REQUEST, tokens::add)
                .get()
                .path("kept")
                .asBoolean());
        assertEquals(List.of("grüß", " dich"), tokens);
    }

    @Test
    void aStreamThatEndsWithoutReceiptHasAnUnknownOutcome() {
        responseBody = "event: token\ndata: {\"offset\":0,\"text\":\"a\"}\n\n";
        Either<CallerFailure, ?> result = client(ImmutableList.of(serverAddress())).stream(REQUEST, _token -> {});
        assertEquals(Outcome.UNKNOWN, result.getLeft().outcome());
    }

    private CallerClient client(ImmutableList<HostAndPort> knownEntries) {
        return new CallerClient(knownEntries, "secret", httpClient, timer);
    }

    private HostAndPort serverAddress() {
        return HostAndPort.fromParts("127.0.0.1", server.getBindPort());
    }

    private long count(String text) {
        return receivedRequests.stream().filter(call -> call.contains(text)).count();
    }

    private void addresses(Context context) {
        receivedRequests.add("addresses");
        HostAndPort first = listsUnreachableEntryFirst ? UNREACHABLE_ADDRESS : serverAddress();
        context.getResponse()
                .send(
                        "application/json",
                        "{\"addresses\": [\"" + first + "\", \"" + serverAddress()
                                + "\"], \"keepMilliseconds\": 1000, \"ticket\": \"ticket-1\"}");
    }

    private void request(Context context) {
        receivedRequests.add(String.join(
                " ",
                header(context, "Idempotency-Key"),
                header(context, "X-Ticket"),
                header(context, "Authorization")));
        context.getResponse().status(status).send("application/json", responseBody);
    }

    private static String header(Context context, String name) {
        return context.getRequest().getHeaders().get(name);
    }
}
