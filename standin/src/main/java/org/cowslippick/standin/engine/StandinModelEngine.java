package org.cowslippick.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.entry.endpoint.Json;
import org.cowslippick.entry.request.PromptProfile;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * A model engine with its HTTP interface. It supports batching, prefix caching, streaming, resumption and cancellation,
 * and reports its load with a delay.
 */
public final class StandinModelEngine implements AutoCloseable {

    private static final Duration REPORT_DELAY = Duration.ofMillis(500);

    private final String name;
    private final TimerService timer;
    private final EngineLoop loop;
    private final AtomicReference<EngineFaults> faults = new AtomicReference<>(EngineFaults.NONE);
    private final RatpackServer server;

    /** Starts an engine on a free loopback port. */
    public StandinModelEngine(String name, EngineSpeed speed, TimerService timer) {
        this.name = name;
        this.timer = timer;
        this.loop = new EngineLoop(speed, timer, () -> faults.get().slowdown(), REPORT_DELAY);
        this.server = start();
    }

    /** Replaces the injected faults. */
    public void setFaults(EngineFaults replacement) {
        faults.set(replacement);
    }

    /** Returns the address at which entries reach the engine. */
    public HostAndPort address() {
        return HostAndPort.fromParts("127.0.0.1", server.getBindPort());
    }

    public EngineCounters counters() {
        return loop.counters();
    }

    @Override
    public void close() {
        loop.close();
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("stand-in engine " + name + " cannot stop", failure);
        }
    }

    private RatpackServer start() {
        try {
            return RatpackServer.start(
                    spec -> spec.serverConfig(config -> config.address(InetAddress.getLoopbackAddress())
                                    .port(0)
                                    .threads(1)
                                    .maxContentLength(16 << 20)
                                    .registerShutdownHook(false))
                            .handlers(this::addRoutes));
        } catch (Exception failure) {
            throw new IllegalStateException("stand-in engine " + name + " cannot start", failure);
        }
    }

    private void addRoutes(Chain chain) {
        chain.post("v1/chat/completions", this::handleCompletion)
                .get("v1/requests/:request/stream", this::handleResume)
                .delete("v1/requests/:request", this::handleCancel)
                .get("v1/load", context -> sendJson(context, loop.reportedLoad()))
                .get("v1/cache/events", this::handleCacheEvents);
    }

    private void handleCompletion(Context context) {
        context.getRequest().getBody().then(body -> startCompletion(context, body.getText()));
    }

    private void startCompletion(Context context, String body) {
        EngineFaults currentFaults = faults.get();
        if (currentFaults.refuse()) {
            context.getResponse().getHeaders().set("X-Not-Started", "true");
            context.getResponse().status(503).send();
            return;
        }
        JsonNode request = Json.read(body).orElseThrow();
        String prompt = promptText(request);
        if (currentFaults.crashText().filter(prompt::contains).isPresent()) {
            timer.schedule(Duration.ofMillis(1), this::close);
            return;
        }
        String id = context.getRequest().getHeaders().get("X-Request-Id");
        PromptProfile profile = PromptProfile.of(prompt);
        Sequence sequence = new Sequence(
                id,
                profile.prefixHashes(),
                Math.max(1, profile.tokens()),
                request.path("max_tokens").asInt());
        loop.add(sequence);
        sendTokens(context, sequence, 0);
    }

    private void handleResume(Context context) {
        String id = context.getPathTokens().get("request");
        int offset = Integer.parseInt(context.getRequest().getQueryParams().get("offset"));
        Optional<Sequence> found = loop.find(id);
        found.ifPresentOrElse(
                sequence -> sendTokens(context, sequence, offset),
                () -> context.getResponse().status(404).send());
    }

    private void handleCancel(Context context) {
        boolean cancelled = loop.cancel(context.getPathTokens().get("request"));
        context.getResponse().status(cancelled ? 204 : 404).send();
    }

    private void sendTokens(Context context, Sequence sequence, int offset) {
        context.getResponse().contentType("text/event-stream");
        TokenPublisher publisher = new TokenPublisher(
                loop, sequence, offset, context.getExecution().getEventLoop(), faults::get);
        context.getResponse().sendStream(publisher);
    }

    private void handleCacheEvents(Context context) {
        long after = Long.parseLong(context.getRequest().getQueryParams().get("after"));
        sendJson(context, loop.cacheEvents(after));
    }

    private static void sendJson(Context context, Object body) {
        context.getResponse().send("application/json", Json.write(body));
    }

    private static String promptText(JsonNode request) {
        return StreamSupport.stream(request.path("messages").spliterator(), false)
                .map(message -> message.path("content").asText())
                .collect(Collectors.joining("\n"));
    }

    /** The body of a load report. */
    record LoadBody(int running, int waiting, double cacheUsedShare, long ageMilliseconds) {}

    /** The body of a report of cache events. */
    record CacheEventsBody(long next, boolean gap, ImmutableList<PrefixCache.CacheEvent> events) {}
}
