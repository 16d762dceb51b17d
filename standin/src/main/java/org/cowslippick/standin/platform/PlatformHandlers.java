package org.cowslippick.standin.platform;

import io.vavr.control.Either;
import java.time.Duration;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.fleet.platform.InMemoryObjectStore;
import org.cowslippick.fleet.platform.ObjectKey;
import org.cowslippick.fleet.platform.PlatformFault;
import org.cowslippick.fleet.platform.PlatformJson;
import org.cowslippick.fleet.platform.PlatformJson.InstancesBody;
import org.cowslippick.fleet.platform.PlatformJson.ListBody;
import org.cowslippick.fleet.platform.PlatformJson.ObjectBody;
import org.cowslippick.fleet.platform.PlatformJson.ValueBody;
import org.cowslippick.fleet.platform.StoredObject;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.ResponseChunks;
import ratpack.stream.Streams;

/** Serves the HTTP interface of the platform from an in-memory object store, with injected faults. */
final class PlatformHandlers implements Action<Chain> {

    private static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(3);
    private static final int BAD_REQUEST = 400;

    private final InMemoryObjectStore store;
    private final DelayedInstanceList instances;
    private final FaultInjector faults;
    private final TimerService timer;

    PlatformHandlers(
            InMemoryObjectStore store, DelayedInstanceList instances, FaultInjector faults, TimerService timer) {
        this.store = store;
        this.instances = instances;
        this.faults = faults;
        this.timer = timer;
    }

    @Override
    public void execute(Chain chain) throws Exception {
        chain.all(this::injectFaults)
                .path("objects/:kind/:name", this::handleObject)
                .get("objects/:kind", this::handleList)
                .get("watch/:kind", this::handleWatch)
                .get("instances", context -> send(context, InstancesBody.of(instances.visible())));
    }

    private void injectFaults(Context context) {
        if (faults.isUnavailable()) {
            context.getResponse().status(503).send();
        } else if (faults.delay().isZero()) {
            context.next();
        } else {
            delay(faults.delay()).then(_elapsed -> context.next());
        }
    }

    private Promise<Duration> delay(Duration duration) {
        return Promise.async(downstream -> timer.schedule(duration, () -> downstream.success(duration)));
    }

    private void handleObject(Context context) throws Exception {
        ObjectKey key = new ObjectKey(pathToken(context, "kind"), pathToken(context, "name"));
        context.byMethod(methods -> methods.get(() -> respond(context, store.get(key)))
                .post(() -> withValue(context, value -> respondToWrite(context, store.create(key, value))))
                .put(() -> withValue(
                        context,
                        value -> respondToWrite(context, store.update(key, longParameter(context, "version"), value))))
                .delete(() -> respondToWrite(context, store.delete(key, longParameter(context, "version")))));
    }

    private void handleList(Context context) {
        String prefix = context.getRequest().getQueryParams().getOrDefault("prefix", "");
        send(context, ListBody.of(store.list(pathToken(context, "kind"), prefix)));
    }

    private void handleWatch(Context context) {
        long after = longParameter(context, "after");
        if (!store.coversHistoryAfter(after)) {
            context.getResponse()
                    .status(httpStatus(PlatformFault.VERSION_TOO_OLD))
                    .send();
            return;
        }
        WatchPublisher publisher = new WatchPublisher(
                store, pathToken(context, "kind"), after, task -> timer.scheduleWithFixedDelay(HEARTBEAT_PERIOD, task));
        context.render(ResponseChunks.stringChunks(
                "application/x-ndjson", Streams.buffer(publisher).bindExec()));
    }

    private static void withValue(Context context, Action<String> action) {
        context.getRequest()
                .getBody()
                .map(body -> PlatformJson.read(body.getText(), ValueBody.class))
                .then(read -> {
                    if (read.isRight()) {
                        action.execute(read.get().value());
                    } else {
                        context.getResponse().status(BAD_REQUEST).send(read.getLeft());
                    }
                });
    }

    // The result of closing the connection is of no interest.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void respondToWrite(Context context, Either<PlatformFault, StoredObject> result) {
        if (faults.consumeResponseLoss()) {
            context.getDirectChannelAccess().getChannel().close();
        } else {
            respond(context, result);
        }
    }

    private static void respond(Context context, Either<PlatformFault, StoredObject> result) {
        result.peek(object -> send(context, ObjectBody.of(object)))
                .peekLeft(
                        fault -> context.getResponse().status(httpStatus(fault)).send());
    }

    private static void send(Context context, Object body) {
        context.getResponse().contentType("application/json").send(PlatformJson.write(body));
    }

    private static int httpStatus(PlatformFault fault) {
        return switch (fault) {
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case VERSION_TOO_OLD -> 410;
            case TOO_LARGE -> 413;
            case UNAVAILABLE -> 503;
            case ANSWER_LOST -> 500;
        };
    }

    private static String pathToken(Context context, String name) {
        return context.getPathTokens().get(name);
    }

    private static long longParameter(Context context, String parameter) {
        return Long.parseLong(context.getRequest().getQueryParams().getOrDefault(parameter, "0"));
    }
}
