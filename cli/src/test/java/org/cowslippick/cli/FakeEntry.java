package org.cowslippick.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cowslippick.core.settings.SettingsTree;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.TypedData;
import ratpack.server.RatpackServer;

/** A fake of an entry's interface for operators, with settings in memory and faults that tests can inject. */
final class FakeEntry implements AutoCloseable {

    static final String CREDENTIAL = "operator";

    private static final ObjectMapper JSON = new ObjectMapper();

    final List<String> receivedRequests = new CopyOnWriteArrayList<>();
    /** Closes the connection instead of responding to a commit. */
    volatile boolean losesCommitResponses;
    /** Responds to a commit as usual, but does not apply it. */
    volatile boolean discardsCommits;
    /** Settings that are committed by somebody else just before each commit, if not null. */
    volatile String concurrentCommit;

    volatile String timeline = "{\"events\": []}";

    private final List<String> committed = new ArrayList<>();
    private final RatpackServer server;

    FakeEntry(String ini) throws Exception {
        committed.add(ini);
        server = RatpackServer.start(spec -> spec.serverConfig(
                        config -> config.development(false).port(0).connectTimeoutMillis(1000))
                .handlers(this::addHandlers));
    }

    String address() {
        return "127.0.0.1:" + server.getBindPort();
    }

    synchronized String ini() {
        return committed.get(committed.size() - 1);
    }

    synchronized int revision() {
        return committed.size();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot stop the fake entry: " + failure.getMessage(), failure);
        }
    }

    private void addHandlers(Chain chain) {
        chain.all(context -> {
                    receivedRequests.add(context.getRequest().getMethod() + " "
                            + context.getRequest().getUri());
                    context.next();
                })
                .all(FakeEntry::authenticate)
                .path(
                        "v1/settings",
                        context -> context.byMethod(method -> method.get(() -> send(context, 200, settings()))
                                .post(() -> context.getRequest().getBody().then(body -> commit(context, body)))))
                .get("v1/status", context -> send(context, 200, settings().put("entry", address())))
                .get("v1/timeline", context -> context.render(timeline))
                .post("v1/drain", context -> send(context, 202, JsonNodeFactory.instance.objectNode()));
    }

    private static void authenticate(Context context) {
        if (("Bearer " + CREDENTIAL).equals(context.getRequest().getHeaders().get("Authorization"))) {
            context.next();
        } else {
            send(context, 401, error("unauthenticated", "not-run", "the credential is unknown"));
        }
    }

    private void commit(Context context, TypedData body) throws JsonProcessingException {
        JsonNode request = JSON.readTree(body.getText());
        if (concurrentCommit != null) {
            add(concurrentCommit);
        }
        if (request.path("baseRevision").asInt() != revision()) {
            send(context, 409, error("settings-conflict", "not-run", "the base is old"));
            return;
        }
        if (!discardsCommits) {
            add(SettingsTree.parse(request.path("ini").asText())
                    .get()
                    .document()
                    .toIni());
        }
        if (losesCommitResponses) {
            context.getDirectChannelAccess().getChannel().close().addListener(_closed -> {});
            return;
        }
        send(context, 200, settings());
    }

    private synchronized void add(String ini) {
        committed.add(ini);
    }

    private synchronized ObjectNode settings() {
        return JsonNodeFactory.instance.objectNode().put("revision", revision()).put("ini", ini());
    }

    private static ObjectNode error(String kind, String outcome, String detail) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("error", kind)
                .put("outcome", outcome)
                .put("detail", detail);
    }

    private static void send(Context context, int status, ObjectNode body) {
        context.getResponse().status(status).send("application/json", body.toString());
    }
}
