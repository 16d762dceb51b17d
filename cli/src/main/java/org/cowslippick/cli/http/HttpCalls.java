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

/** Makes HTTP calls on an event loop of its own. */
public final class HttpCalls implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAXIMUM_ANSWER_BYTES = 64 << 20;
    private static final int EVENT_LOOPS = 1;

    private final ExecController controller = new DefaultExecController(EVENT_LOOPS);
    private final HttpClient client;

    /** Creates a caller that gives up on an answer when nothing of it arrives for the time. */
    public HttpCalls(Duration readTimeout) {
        this.client = client(controller, readTimeout);
    }

    /** Makes the call without waiting. The future never completes exceptionally. */
    public CompletableFuture<Either<HttpFault, HttpAnswer>> start(HttpCall call) {
        CompletableFuture<Either<HttpFault, HttpAnswer>> result = new CompletableFuture<>();
        controller
                .fork()
                .onError(failure -> result.complete(Either.left(fault(failure))))
                .start(_execution -> client.request(call.uri(), spec -> fill(spec, call))
                        .then(response -> result.complete(Either.right(answer(response)))));
        return result;
    }

    /** Makes the call and hands on the lines of a successful answer as they come; the answer's body then is empty. */
    public CompletableFuture<Either<HttpFault, HttpAnswer>> startStream(HttpCall call, Consumer<String> lines) {
        CompletableFuture<Either<HttpFault, HttpAnswer>> result = new CompletableFuture<>();
        controller
                .fork()
                .onError(failure -> result.complete(Either.left(fault(failure))))
                .start(_execution -> client.requestStream(call.uri(), spec -> fill(spec, call))
                        .then(response -> response.getBody()
                                .subscribe(new LineSubscriber(response.getStatusCode(), lines, result))));
        return result;
    }

    /** Makes the call and waits for its end. */
    public Either<HttpFault, HttpAnswer> call(HttpCall call) {
        return start(call).join();
    }

    @Override
    public void close() {
        client.close();
        controller.close();
    }

    static HttpFault fault(Throwable failure) {
        return Stream.iterate(failure, cause -> cause != null, Throwable::getCause)
                        .anyMatch(HttpCalls::beforeConnection)
                ? HttpFault.NOT_SENT
                : HttpFault.ANSWER_LOST;
    }

    private static boolean beforeConnection(Throwable cause) {
        return cause instanceof ConnectException
                || cause instanceof ConnectTimeoutException
                || cause instanceof NoRouteToHostException
                || cause instanceof UnknownHostException;
    }

    static void fill(RequestSpec spec, HttpCall call) throws Exception {
        spec.method(call.method().name()).redirects(0);
        spec.headers(headers -> call.headers().forEach(headers::set));
        if (call.body().isPresent()) {
            spec.body(body -> body.type("application/json").text(call.body().get(), StandardCharsets.UTF_8));
        }
    }

    private static HttpAnswer answer(ReceivedResponse response) {
        return new HttpAnswer(response.getStatusCode(), response.getBody().getText(StandardCharsets.UTF_8));
    }

    private static HttpClient client(ExecController controller, Duration readTimeout) {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(readTimeout)
                    .maxContentLength(MAXIMUM_ANSWER_BYTES));
        } catch (Exception failure) {
            throw new IllegalStateException("cannot create the HTTP client: " + failure.getMessage(), failure);
        }
    }
}
