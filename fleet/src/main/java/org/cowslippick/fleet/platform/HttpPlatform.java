package org.cowslippick.fleet.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.net.UrlEscapers;
import io.netty.buffer.PooledByteBufAllocator;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.jboss.logging.Logger;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.http.HttpMethod;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * The platform over its HTTP dialect. A call that never reached the platform, or that it refused with 429 or 503, is
 * {@link PlatformFault#UNAVAILABLE}; a write that was sent and got no clear answer is {@link PlatformFault#ANSWER_LOST}.
 */
public final class HttpPlatform implements Platform, AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.platform");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAXIMUM_ANSWER_BYTES = 64 << 20;
    private static final int IDLE_CONNECTIONS = 16;

    private final URI address;
    private final ExecController controller;
    private final boolean ownsController;
    private final TimerService timer;
    private final HttpClient client;

    private HttpPlatform(URI address, TimerService timer, ExecController controller, boolean ownsController) {
        this.address = address;
        this.timer = timer;
        this.controller = controller;
        this.ownsController = ownsController;
        this.client = client(controller);
    }

    /** Creates a client that runs on the event loops of the caller's controller. */
    public static HttpPlatform on(URI address, TimerService timer, ExecController controller) {
        return new HttpPlatform(address, timer, controller, false);
    }

    /** Creates a client with an event loop of its own, which {@link #close()} stops. */
    public static HttpPlatform standalone(URI address, TimerService timer) {
        return new HttpPlatform(address, timer, new DefaultExecController(1), true);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> get(ObjectKey key) {
        return read(objectPath(key), PlatformJson.ObjectBody.class, body -> body.toObject(key.kind()));
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ObjectList>> list(String kind, String namePrefix) {
        return read(
                "/objects/" + segment(kind) + "?prefix=" + parameter(namePrefix),
                PlatformJson.ListBody.class,
                body -> body.toList(kind));
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> create(ObjectKey key, String value) {
        return write(HttpMethod.POST, key, objectPath(key), value);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> update(ObjectKey key, long version, String value) {
        return write(HttpMethod.PUT, key, objectPath(key) + "?version=" + version, value);
    }

    @Override
    public CompletableFuture<Either<PlatformFault, StoredObject>> delete(ObjectKey key, long version) {
        return call(
                objectPath(key) + "?version=" + version,
                spec -> spec.method(HttpMethod.DELETE),
                PlatformFault.ANSWER_LOST,
                PlatformJson.ObjectBody.class,
                body -> body.toObject(key.kind()));
    }

    @Override
    public Subscription watch(String kind, long afterVersion, WatchListener listener) {
        HttpWatch watch = new HttpWatch(kind, timer, listener);
        watch.start(controller, client, uri("/watch/" + segment(kind) + "?after=" + afterVersion));
        return watch;
    }

    @Override
    public CompletableFuture<Either<PlatformFault, ImmutableList<ListedInstance>>> instances() {
        return read("/instances", PlatformJson.InstancesBody.class, PlatformJson.InstancesBody::toInstances);
    }

    @Override
    public void close() {
        client.close();
        if (ownsController) {
            controller.close();
        }
    }

    private <B, R> CompletableFuture<Either<PlatformFault, R>> read(
            String path, Class<B> type, Function<B, R> convert) {
        return call(path, spec -> spec.method(HttpMethod.GET), PlatformFault.UNAVAILABLE, type, convert);
    }

    private CompletableFuture<Either<PlatformFault, StoredObject>> write(
            HttpMethod method, ObjectKey key, String path, String value) {
        String body = PlatformJson.write(new PlatformJson.ValueBody(value));
        return call(
                path,
                spec -> spec.method(method)
                        .body(content -> content.type("application/json").text(body, StandardCharsets.UTF_8)),
                PlatformFault.ANSWER_LOST,
                PlatformJson.ObjectBody.class,
                answer -> answer.toObject(key.kind()));
    }

    private <B, R> CompletableFuture<Either<PlatformFault, R>> call(
            String path,
            Action<? super RequestSpec> request,
            PlatformFault whenUnclear,
            Class<B> type,
            Function<B, R> convert) {
        CompletableFuture<Either<PlatformFault, R>> result = new CompletableFuture<>();
        controller
                .fork()
                .onError(failure -> result.complete(Either.left(fault(path, failure, whenUnclear))))
                .start(_execution -> client.request(uri(path), request)
                        .map(response -> answer(response, whenUnclear, type, convert))
                        .then(result::complete));
        return result;
    }

    private static <B, R> Either<PlatformFault, R> answer(
            ReceivedResponse response, PlatformFault whenUnclear, Class<B> type, Function<B, R> convert) {
        int status = response.getStatusCode();
        if (status == 200) {
            return PlatformJson.read(response.getBody().getText(StandardCharsets.UTF_8), type)
                    .mapLeft(_problem -> whenUnclear)
                    .map(convert);
        }
        return Either.left(fault(status, whenUnclear));
    }

    static PlatformFault fault(int status, PlatformFault whenUnclear) {
        return switch (status) {
            case 404 -> PlatformFault.NOT_FOUND;
            case 409 -> PlatformFault.CONFLICT;
            case 410 -> PlatformFault.VERSION_TOO_OLD;
            case 413 -> PlatformFault.TOO_LARGE;
            case 429, 503 -> PlatformFault.UNAVAILABLE;
            default -> whenUnclear;
        };
    }

    /** A refused or timed-out connection carried nothing; any later failure leaves the outcome of a write open. */
    private static PlatformFault fault(String path, Throwable failure, PlatformFault whenUnclear) {
        PlatformFault fault = failure instanceof ConnectException ? PlatformFault.UNAVAILABLE : whenUnclear;
        LOG.debugf("platform: call failed path=%s fault=%s reason=%s", path, fault, failure.getMessage());
        return fault;
    }

    private static HttpClient client(ExecController controller) {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .byteBufAllocator(PooledByteBufAllocator.DEFAULT)
                    .poolSize(IDLE_CONNECTIONS)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(READ_TIMEOUT)
                    .maxContentLength(MAXIMUM_ANSWER_BYTES));
        } catch (Exception failure) {
            throw new IllegalStateException("the HTTP client cannot be created: " + failure.getMessage(), failure);
        }
    }

    private URI uri(String path) {
        return address.resolve(path);
    }

    private static String objectPath(ObjectKey key) {
        return "/objects/" + segment(key.kind()) + "/" + segment(key.name());
    }

    private static String segment(String text) {
        return UrlEscapers.urlPathSegmentEscaper().escape(text);
    }

    private static String parameter(String text) {
        return UrlEscapers.urlFormParameterEscaper().escape(text);
    }
}
