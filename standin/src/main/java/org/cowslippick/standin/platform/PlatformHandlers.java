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

/** Serves the platform's HTTP dialect from an object memory, with the faults that are switched on. */
final class PlatformHandlers implements Action<Chain> {

    private static final Duration ALIVE_PERIOD = Duration.ofSeconds(3);
    private static final int BAD_REQUEST = 400;

    private final InMemoryObjectStore memory;
    private final LaggingInstances instances;
    private final PlatformSwitches switches;
    private final TimerService timer;

    PlatformHandlers(
            InMemoryObjectStore memory, LaggingInstances instances, PlatformSwitches switches, TimerService timer) {
        this.memory = memory;
        this.instances = instances;
        this.switches = switches;
        this.timer = timer;
    }

    @Override
    public void execute(Chain chain) throws Exception {
        chain.all(this::switchFaults)
                .path("objects/:kind/:name", this::object)
                .get("objects/:kind", this::list)
                .get("watch/:kind", this::watch)
                .get("instances", context -> send(context, InstancesBody.of(instances.shown())));
    }

    private void switchFaults(Context context) {
        if (switches.down()) {
            context.getResponse().status(503).send();
        } else if (switches.delay().isZero()) {
            context.next();
        } else {
            delay(switches.delay()).then(_elapsed -> context.next());
        }
    }

    private Promise<Duration> delay(Duration duration) {
        return Promise.async(downstream -> timer.schedule(duration, () -> downstream.success(duration)));
    }

    private void object(Context context) throws Exception {
        ObjectKey key = new ObjectKey(token(context, "kind"), token(context, "name"));
        context.byMethod(methods -> methods.get(() -> answer(context, memory.get(key)))
                .post(() -> withValue(context, value -> answerWrite(context, memory.create(key, value))))
                .put(() -> withValue(
                        context, value -> answerWrite(context, memory.update(key, number(context, "version"), value))))
                .delete(() -> answerWrite(context, memory.delete(key, number(context, "version")))));
    }

    private void list(Context context) {
        String prefix = context.getRequest().getQueryParams().getOrDefault("prefix", "");
        send(context, ListBody.of(memory.list(token(context, "kind"), prefix)));
    }

    private void watch(Context context) {
        long after = number(context, "after");
        if (!memory.coversHistoryAfter(after)) {
            context.getResponse().status(status(PlatformFault.VERSION_TOO_OLD)).send();
            return;
        }
        WatchLines lines = new WatchLines(
                memory, token(context, "kind"), after, task -> timer.scheduleWithFixedDelay(ALIVE_PERIOD, task));
        context.render(ResponseChunks.stringChunks(
                "application/x-ndjson", Streams.buffer(lines).bindExec()));
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

    // Nobody waits for the connection to be closed.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void answerWrite(Context context, Either<PlatformFault, StoredObject> result) {
        if (switches.loseThisAnswer()) {
            context.getDirectChannelAccess().getChannel().close();
        } else {
            answer(context, result);
        }
    }

    private static void answer(Context context, Either<PlatformFault, StoredObject> result) {
        result.peek(object -> send(context, ObjectBody.of(object)))
                .peekLeft(fault -> context.getResponse().status(status(fault)).send());
    }

    private static void send(Context context, Object body) {
        context.getResponse().contentType("application/json").send(PlatformJson.write(body));
    }

    private static int status(PlatformFault fault) {
        return switch (fault) {
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case VERSION_TOO_OLD -> 410;
            case TOO_LARGE -> 413;
            case UNAVAILABLE -> 503;
            case ANSWER_LOST -> 500;
        };
    }

    private static String token(Context context, String name) {
        return context.getPathTokens().get(name);
    }

    private static long number(Context context, String parameter) {
        return Long.parseLong(context.getRequest().getQueryParams().getOrDefault(parameter, "0"));
    }
}
