package org.cowslippick.entry.door;

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
import org.cowslippick.entry.request.RequestDesk;
import org.jboss.logging.Logger;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.server.RatpackServer;

/** The HTTP server of an entry. */
public final class FrontDoor implements AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.door");
    private static final int EVENT_LOOPS = 4;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(15);

    private final DoorParts parts;
    private final RatpackServer server;

    /** Starts the server on the address; port 0 takes a free one. */
    public FrontDoor(HostAndPort address, DoorParts parts) {
        this.parts = parts;
        this.server = start(address);
    }

    /** What the handlers use. */
    public record DoorParts(
            Admission admission,
            RequestDesk desk,
            AddressBook addresses,
            Timeline timeline,
            EntryMetrics metrics,
            OnTimeRecord record,
            InstanceName entry,
            Supplier<?> status,
            SettingsService settings,
            Runnable whenDrainWanted,
            int maximumBodyBytes) {}

    public int port() {
        return server.getBindPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            LOG.warn("front door did not stop cleanly", failure);
        }
    }

    private RatpackServer start(HostAndPort address) {
        try {
            return RatpackServer.start(
                    spec -> spec.serverConfig(config -> config.address(InetAddress.getByName(address.getHost()))
                                    .port(address.getPort())
                                    .threads(EVENT_LOOPS)
                                    .idleTimeout(IDLE_TIMEOUT)
                                    .maxContentLength(parts.maximumBodyBytes())
                                    .registerShutdownHook(false))
                            .registryOf(registry -> registry.add(ServerErrorHandler.class, FrontDoor::failed))
                            .handlers(this::routes));
        } catch (Exception failure) {
            throw new IllegalStateException("cannot serve callers at " + address, failure);
        }
    }

    private void routes(Chain chain) {
        SettingsHandler settings = new SettingsHandler(parts.settings());
        chain.get("live", context -> context.getResponse().send("live"))
                .get("ready", this::ready)
                .get("metrics", context -> context.getResponse()
                        .send(EntryMetrics.CONTENT_TYPE, parts.metrics().text()))
                .get("v1/addresses", new AddressesHandler(parts.admission(), parts.addresses()))
                .post("v1/services/:service/requests", requests(AnswerFormat.NATIVE, body -> body.pathToken("service")))
                .post("v1/chat/completions", requests(AnswerFormat.OPEN_AI, body -> body.field("model")))
                .delete("v1/requests/:request", new CancelHandler(parts.admission(), parts.desk()))
                .post("v1/drain", operators(this::drain))
                .get(
                        "v1/status",
                        operators(context ->
                                Answers.json(context, 200, parts.status().get())))
                .path(
                        "v1/settings",
                        operators(context -> context.byMethod(
                                methods -> methods.get(settings::read).post(settings::commit))))
                .get(
                        "v1/organisations/:organisation/record",
                        new RecordHandler(parts.admission(), parts.record(), parts.entry()))
                .get("v1/timeline", operators(new TimelineHandler(parts.timeline())))
                .all(FrontDoor::unknownPath);
    }

    private RequestsHandler requests(AnswerFormat format, Function<RequestsHandler.RequestBody, String> serviceName) {
        return new RequestsHandler(parts.admission(), parts.desk(), format, parts.maximumBodyBytes(), serviceName);
    }

    /** Lets only operators pass. */
    private Handler operators(Handler handler) {
        return context -> {
            if (parts.admission().operator(Answers.header(context, "Authorization"))) {
                handler.handle(context);
            } else {
                Answers.error(context, Failure.of(ErrorKind.UNAUTHENTICATED, "this needs an operator's credential"));
            }
        };
    }

    private void ready(Context context) {
        boolean ready = !parts.desk().draining();
        context.getResponse().status(ready ? 200 : 503).send(ready ? "ready" : "draining");
    }

    private void drain(Context context) {
        context.getResponse().status(202).send();
        parts.whenDrainWanted().run();
    }

    private static void unknownPath(Context context) {
        Answers.error(
                context,
                Failure.of(
                        ErrorKind.UNKNOWN_PATH,
                        "there is no " + context.getRequest().getMethod() + " "
                                + context.getRequest().getPath()));
    }

    private static void failed(Context context, Throwable failure) {
        LOG.error("request handler failed", failure);
        Answers.error(context, Failure.of(ErrorKind.INTERNAL, "the entry failed"));
    }
}
