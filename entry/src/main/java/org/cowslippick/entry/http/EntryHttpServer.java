package org.cowslippick.entry.http;

import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.time.Duration;
import java.util.function.Function;
import java.util.function.Supplier;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.timeline.Timeline;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.entry.metrics.EntryMetrics;
import org.cowslippick.entry.record.OnTimeRecord;
import org.cowslippick.entry.request.Admission;
import org.cowslippick.entry.request.RequestManager;
import org.jboss.logging.Logger;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.server.RatpackServer;

/** The HTTP server of an entry for callers, operators, metrics and health checks. */
public final class EntryHttpServer implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.door");
    private static final int EVENT_LOOPS = 4;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(15);

    private final Dependencies dependencies;
    private final RatpackServer server;

    /** Starts the server on the address; port 0 selects a free port. */
    public EntryHttpServer(HostAndPort address, Dependencies dependencies) {
        this.dependencies = dependencies;
        this.server = start(address);
    }

    /** The services that the handlers call. */
    public record Dependencies(
            Admission admission,
            RequestManager requests,
            EntrySelector entrySelector,
            Timeline timeline,
            EntryMetrics metrics,
            OnTimeRecord record,
            InstanceName entry,
            Supplier<?> status,
            SettingsService settings,
            Runnable onDrainRequested,
            int maximumBodyBytes) {}

    public int port() {
        return server.getBindPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            LOG.warn("HTTP server did not stop cleanly", failure);
        }
    }

    private RatpackServer start(HostAndPort address) {
        try {
            return RatpackServer.start(spec -> spec.serverConfig(
                            config -> config.address(InetAddress.getByName(address.getHost()))
                                    .port(address.getPort())
                                    .threads(EVENT_LOOPS)
                                    .idleTimeout(IDLE_TIMEOUT)
                                    .maxContentLength(dependencies.maximumBodyBytes())
                                    .registerShutdownHook(false))
                    .registryOf(registry -> registry.add(ServerErrorHandler.class, EntryHttpServer::handleError))
                    .handlers(this::configureRoutes));
        } catch (Exception failure) {
            throw new IllegalStateException("cannot start the HTTP server on " + address, failure);
        }
    }

    private void configureRoutes(Chain chain) {
        SettingsHandler settings = new SettingsHandler(dependencies.settings());
        chain.get("live", context -> context.getResponse().send("live"))
                .get("ready", this::sendReadiness)
                .get("metrics", context -> context.getResponse()
                        .send(EntryMetrics.CONTENT_TYPE, dependencies.metrics().text()))
                .get("v1/addresses", new AddressesHandler(dependencies.admission(), dependencies.entrySelector()))
                .post(
                        "v1/services/:service/requests",
                        requestsHandler(AnswerFormat.NATIVE, body -> body.pathToken("service")))
                .post("v1/chat/completions", requestsHandler(AnswerFormat.OPEN_AI, body -> body.field("model")))
                .delete("v1/requests/:request", new CancelHandler(dependencies.admission(), dependencies.requests()))
                .post("v1/drain", operatorsOnly(this::drain))
                .get(
                        "v1/status",
                        operatorsOnly(context -> Responses.sendJson(
                                context, 200, dependencies.status().get())))
                .path(
                        "v1/settings",
                        operatorsOnly(context -> context.byMethod(
                                methods -> methods.get(settings::read).post(settings::commit))))
                .get(
                        "v1/organisations/:organisation/record",
                        new RecordHandler(dependencies.admission(), dependencies.record(), dependencies.entry()))
                .get("v1/timeline", operatorsOnly(new TimelineHandler(dependencies.timeline())))
                .all(EntryHttpServer::sendUnknownPath);
    }

    private RequestsHandler requestsHandler(
            AnswerFormat format, Function<RequestsHandler.RequestBody, String> serviceName) {
        return new RequestsHandler(
                dependencies.admission(),
                dependencies.requests(),
                format,
                dependencies.maximumBodyBytes(),
                serviceName);
    }

    private Handler operatorsOnly(Handler handler) {
        return context -> {
            if (dependencies.admission().isOperator(Responses.header(context, "Authorization"))) {
                handler.handle(context);
            } else {
                Responses.sendError(
                        context, Failure.of(ErrorKind.UNAUTHENTICATED, "an operator's credential is required"));
            }
        };
    }

    private void sendReadiness(Context context) {
        boolean ready = !dependencies.requests().isDraining();
        context.getResponse().status(ready ? 200 : 503).send(ready ? "ready" : "draining");
    }

    private void drain(Context context) {
        context.getResponse().status(202).send();
        dependencies.onDrainRequested().run();
    }

    private static void sendUnknownPath(Context context) {
        Responses.sendError(
                context,
                Failure.of(
                        ErrorKind.UNKNOWN_PATH,
                        "no such path or method: " + context.getRequest().getMethod() + " "
                                + context.getRequest().getPath()));
    }

    private static void handleError(Context context, Throwable failure) {
        LOG.error("request handler failed", failure);
        Responses.sendError(context, Failure.of(ErrorKind.INTERNAL, "internal error in the entry"));
    }
}
