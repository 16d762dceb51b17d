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

/** A model engine at its HTTP interface: batches, caches prefixes, streams, resumes, cancels and reports with a lag. */
public final class StandinModelEngine implements AutoCloseable {

    private static final Duration DEFAULT_REPORT_LAG = Duration.ofMillis(500);

    private final String name;
    private final TimerService timer;
    private final EngineLoop loop;
    private final AtomicReference<EngineFaults> faults = new AtomicReference<>(EngineFaults.NONE);
    private final RatpackServer server;

    /** Starts an engine on a free loopback port. */
    public StandinModelEngine(String name, EngineSpeed speed, TimerService timer) {
        this.name = name;
        this.timer = timer;
        this.loop = new EngineLoop(speed, timer, () -> faults.get().slowdown(), DEFAULT_REPORT_LAG);
        this.server = start();
    }

    /** Replaces the faults that the engine shows. */
    public void faults(EngineFaults replacement) {
        faults.set(replacement);
    }

    /** Where entries reach the engine. */
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
            throw new IllegalStateException("cannot stop engine " + name, failure);
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
                            .handlers(this::routes));
        } catch (Exception failure) {
            throw new IllegalStateException("cannot start engine " + name, failure);
        }
    }

    private void routes(Chain chain) {
        chain.post("v1/chat/completions", this::completion)
                .get("v1/requests/:request/stream", this::resume)
                .delete("v1/requests/:request", this::cancel)
                .get("v1/load", context -> json(context, loop.load()))
                .get("v1/cache/events", this::cacheEvents);
    }

    private void completion(Context context) {
        context.getRequest().getBody().then(body -> completion(context, body.getText()));
    }

    private void completion(Context context, String body) {
        EngineFaults current = faults.get();
        if (current.refuse()) {
            context.getResponse().getHeaders().set("X-Not-Started", "true");
            context.getResponse().status(503).send();
            return;
        }
        JsonNode json = Json.read(body).orElseThrow();
        String prompt = promptText(json);
        if (current.crashText().filter(prompt::contains).isPresent()) {
            timer.schedule(Duration.ofMillis(1), this::close);
            return;
        }
        String id = context.getRequest().getHeaders().get("X-Request-Id");
        PromptProfile profile = PromptProfile.of(prompt);
        Sequence sequence = new Sequence(
                id,
                profile.prefixHashes(),
                Math.max(1, profile.tokens()),
                json.path("max_tokens").asInt());
        loop.add(sequence);
        send(context, sequence, 0);
    }

    private void resume(Context context) {
        String id = context.getPathTokens().get("request");
        int offset = Integer.parseInt(context.getRequest().getQueryParams().get("offset"));
        Optional<Sequence> found = loop.find(id);
        found.ifPresentOrElse(
                sequence -> send(context, sequence, offset),
                () -> context.getResponse().status(404).send());
    }

    private void cancel(Context context) {
        boolean cancelled = loop.cancel(context.getPathTokens().get("request"));
        context.getResponse().status(cancelled ? 204 : 404).send();
    }

    private void send(Context context, Sequence sequence, int offset) {
        context.getResponse().contentType("text/event-stream");
        TokenPublisher publisher = new TokenPublisher(
                loop, sequence, offset, context.getExecution().getEventLoop(), faults::get);
        context.getResponse().sendStream(publisher);
    }

    private void cacheEvents(Context context) {
        long after = Long.parseLong(context.getRequest().getQueryParams().get("after"));
        json(context, loop.cacheEvents(after));
    }

    private static void json(Context context, Object body) {
        context.getResponse().send("application/json", Json.write(body));
    }

    private static String promptText(JsonNode json) {
        return StreamSupport.stream(json.path("messages").spliterator(), false)
                .map(message -> message.path("content").asText())
                .collect(Collectors.joining("\n"));
    }

    /** The load as the engine reports it. */
    record LoadBody(int running, int waiting, double cacheUsedShare, long ageMilliseconds) {}

    /** Cache events as the engine reports them. */
    record CacheEventsBody(long next, boolean gap, ImmutableList<PrefixCache.CacheEvent> events) {}
}
