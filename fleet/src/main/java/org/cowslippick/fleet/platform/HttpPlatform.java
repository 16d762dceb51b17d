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
 * The platform's object API over HTTP. A call that never reached the platform, or that was refused with status 429 or
 * 503, gives {@link PlatformFault#UNAVAILABLE}; a write that was sent but has no conclusive response gives
 * {@link PlatformFault#ANSWER_LOST}. Each call has a connection of its own, as nothing in a response tells to which call it
 * belongs.
 */
public final class HttpPlatform implements Platform, AutoCloseable {

    private static final Logger LOG = Logger.getLogger("cowslippick.platform");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAXIMUM_RESPONSE_BYTES = 64 << 20;

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

    /** Creates a client on the event loops of the given controller. */
    public static HttpPlatform on(URI address, TimerService timer, ExecController controller) {
        return new HttpPlatform(address, timer, controller, false);
    }

    /** Creates a client with its own event loop, which {@link #close()} stops. */
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
                "/objects/" + escapePathSegment(kind) + "?prefix=" + escapeParameter(namePrefix),
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
        watch.start(controller, client, uri("/watch/" + escapePathSegment(kind) + "?after=" + afterVersion));
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
                response -> response.toObject(key.kind()));
    }

    private <B, R> CompletableFuture<Either<PlatformFault, R>> call(
            String path,
            Action<? super RequestSpec> request,
            PlatformFault inconclusiveFault,
            Class<B> type,
            Function<B, R> convert) {
        CompletableFuture<Either<PlatformFault, R>> result = new CompletableFuture<>();
        controller
                .fork()
                .onError(failure -> result.complete(Either.left(toFault(path, failure, inconclusiveFault))))
                .start(_execution -> client.request(uri(path), request)
                        .map(response -> convertResponse(response, inconclusiveFault, type, convert))
                        .then(result::complete));
        return result;
    }

    private static <B, R> Either<PlatformFault, R> convertResponse(
            ReceivedResponse response, PlatformFault inconclusiveFault, Class<B> type, Function<B, R> convert) {
        int status = response.getStatusCode();
        if (status == 200) {
            return PlatformJson.read(response.getBody().getText(StandardCharsets.UTF_8), type)
                    .mapLeft(_problem -> inconclusiveFault)
                    .map(convert);
        }
        return Either.left(toFault(status, inconclusiveFault));
    }

    static PlatformFault toFault(int status, PlatformFault inconclusiveFault) {
        return switch (status) {
            case 404 -> PlatformFault.NOT_FOUND;
            case 409 -> PlatformFault.CONFLICT;
            case 410 -> PlatformFault.VERSION_TOO_OLD;
            case 413 -> PlatformFault.TOO_LARGE;
            case 429, 503 -> PlatformFault.UNAVAILABLE;
            default -> inconclusiveFault;
        };
    }

    /**
     * A call whose connection was refused or timed out was not sent; after any later failure the outcome of a write is
     * unknown.
     */
    private static PlatformFault toFault(String path, Throwable failure, PlatformFault inconclusiveFault) {
        PlatformFault fault = failure instanceof ConnectException ? PlatformFault.UNAVAILABLE : inconclusiveFault;
        LOG.debugf("platform: call failed path=%s fault=%s reason=%s", path, fault, failure.getMessage());
        return fault;
    }

    private static HttpClient client(ExecController controller) {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .byteBufAllocator(PooledByteBufAllocator.DEFAULT)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(READ_TIMEOUT)
                    .maxContentLength(MAXIMUM_RESPONSE_BYTES));
        } catch (Exception failure) {
            throw new IllegalStateException(
                    "cannot create the HTTP client of the platform: " + failure.getMessage(), failure);
        }
    }

    private URI uri(String path) {
        return address.resolve(path);
    }

    private static String objectPath(ObjectKey key) {
        return "/objects/" + escapePathSegment(key.kind()) + "/" + escapePathSegment(key.name());
    }

    private static String escapePathSegment(String text) {
        return UrlEscapers.urlPathSegmentEscaper().escape(text);
    }

    private static String escapeParameter(String text) {
        return UrlEscapers.urlFormParameterEscaper().escape(text);
    }
}
