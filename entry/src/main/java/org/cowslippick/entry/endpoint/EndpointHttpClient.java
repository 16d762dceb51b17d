package org.cowslippick.entry.endpoint;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cowslippick.core.world.Endpoint;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/** The HTTP client shared by all endpoint clients. Each dispatch uses a new connection, so that none is stale. */
public final class EndpointHttpClient implements AutoCloseable {

    static final String REQUEST_ID_HEADER = "X-Request-Id";
    static final String NOT_STARTED_HEADER = "X-Not-Started";
    static final String SERVICE_HEADER = "X-Service";

    /** How long a connection may be silent before a new connection is tried. */
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);

    private static final String LOAD_PATH = "/v1/load";
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration READ_TIMEOUT = Duration.ofMinutes(10);
    private static final int MAXIMUM_RESPONSE_BYTES = 16 << 20;

    private final ExecController controller;
    private final HttpClient client;

    /** Creates a client that runs on the event loops of the controller. */
    public EndpointHttpClient(ExecController controller) {
        this.controller = controller;
        this.client = create(controller);
    }

    ExecController controller() {
        return controller;
    }

    HttpClient client() {
        return client;
    }

    /** Requests the endpoint's load on a new connection and reports whether a connection could be made. */
    void probe(Endpoint endpoint, Consumer<Boolean> result) {
        controller
                .fork()
                .onError(cause -> result.accept(!isConnectFailure(cause)))
                .start(_execution -> client.request(uri(endpoint, LOAD_PATH), spec -> spec.readTimeout(SILENCE_TIMEOUT))
                        .then(_response -> result.accept(true)));
    }

    @Override
    public void close() {
        client.close();
    }

    static URI uri(Endpoint endpoint, String path) {
        return URI.create("http://" + endpoint.address() + path);
    }

    /** Whether the failure shows that no connection was made, in which case nothing was sent. */
    static boolean isConnectFailure(Throwable failure) {
        return Stream.iterate(failure, cause -> cause != null, Throwable::getCause)
                .anyMatch(cause -> cause instanceof ConnectException || cause instanceof ConnectTimeoutException);
    }

    private static HttpClient create(ExecController controller) {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .readTimeout(READ_TIMEOUT)
                    .maxContentLength(MAXIMUM_RESPONSE_BYTES));
        } catch (Exception failure) {
            throw new IllegalStateException("cannot create the HTTP client for endpoints", failure);
        }
    }
}
