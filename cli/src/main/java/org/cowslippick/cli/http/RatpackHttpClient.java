package org.cowslippick.cli.http;

import io.netty.channel.ConnectTimeoutException;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/** Sends HTTP requests on its own event loop. */
public final class RatpackHttpClient implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAXIMUM_RESPONSE_BYTES = 64 << 20;
    private static final int EVENT_LOOP_COUNT = 1;

    private final ExecController controller = new DefaultExecController(EVENT_LOOP_COUNT);
    private final HttpClient client;

    /** Creates a client that fails a request when no byte of the response arrives within the read timeout. */
    public RatpackHttpClient(Duration readTimeout) {
        this.client = createClient(controller, readTimeout);
    }

    /** Sends the request without blocking. The future never completes exceptionally. */
    public CompletableFuture<Either<HttpFault, HttpResponse>> sendAsync(HttpRequest request) {
        CompletableFuture<Either<HttpFault, HttpResponse>> result = new CompletableFuture<>();
        controller
                .fork()
                .onError(failure -> result.complete(Either.left(toFault(failure))))
                .start(_execution -> client.request(request.uri(), spec -> configure(spec, request))
                        .then(response -> result.complete(Either.right(toResponse(response)))));
        return result;
    }

    /**
     * Sends the request and passes the lines of a successful response to the consumer as they arrive. The body of such
     * a response is empty in the result.
     */
    public CompletableFuture<Either<HttpFault, HttpResponse>> streamAsync(
            HttpRequest request, Consumer<String> lineConsumer) {
        CompletableFuture<Either<HttpFault, HttpResponse>> result = new CompletableFuture<>();
        controller
                .fork()
                .onError(failure -> result.complete(Either.left(toFault(failure))))
                .start(_execution -> client.requestStream(request.uri(), spec -> configure(spec, request))
                        .then(response -> response.getBody()
                                .subscribe(new LineSubscriber(response.getStatusCode(), lineConsumer, result))));
        return result;
    }

    /** Sends the request and waits for the complete response. */
    public Either<HttpFault, HttpResponse> send(HttpRequest request) {
        return sendAsync(request).join();
    }

    @Override
    public void close() {
        client.close();
        controller.close();
    }

    static HttpFault toFault(Throwable failure) {
        return Stream.iterate(failure, cause -> cause != null, Throwable::getCause)
                        .anyMatch(RatpackHttpClient::isConnectFailure)
                ? HttpFault.NOT_SENT
                : HttpFault.RESPONSE_LOST;
    }

    private static boolean isConnectFailure(Throwable cause) {
        return cause instanceof ConnectException
                || cause instanceof ConnectTimeoutException
                || cause instanceof NoRouteToHostException
                || cause instanceof UnknownHostException;
    }

    static void configure(RequestSpec spec, HttpRequest request) throws Exception {
        spec.method(request.method().name()).redirects(0);
        spec.headers(headers -> request.headers().forEach(headers::set));
        if (request.body().isPresent()) {
            spec.body(body -> body.type("application/json").text(request.body().get(), StandardCharsets.UTF_8));
        }
    }

    private static HttpResponse toResponse(ReceivedResponse response) {
        return new HttpResponse(response.getStatusCode(), response.getBody().getText(StandardCharsets.UTF_8));
    }

    private static HttpClient createClient(ExecController controller, Duration readTimeout) {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(readTimeout)
                    .maxContentLength(MAXIMUM_RESPONSE_BYTES));
        } catch (Exception failure) {
            throw new IllegalStateException("cannot create the HTTP client: " + failure.getMessage(), failure);
        }
    }
}
