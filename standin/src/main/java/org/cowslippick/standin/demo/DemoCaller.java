package org.cowslippick.standin.demo;

import com.google.common.net.HostAndPort;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.MutableHeaders;
import ratpack.http.client.HttpClient;

/** Sends single requests and waits for their complete responses. */
final class DemoCaller implements AutoCloseable {

    private static final Duration READ_TIMEOUT = Duration.ofMinutes(1);

    private final String credential;
    private final DefaultExecController controller = new DefaultExecController(1);
    private final HttpClient client;

    DemoCaller(String credential) {
        this.credential = credential;
        try {
            this.client = HttpClient.of(spec -> spec.execController(controller).readTimeout(READ_TIMEOUT));
        } catch (Exception failure) {
            throw new IllegalStateException("cannot create the caller's HTTP client", failure);
        }
    }

    record Response(int status, String body) {}

    Response send(HostAndPort address, String service, String tier, String body) {
        return send(address, service, tier, Optional.empty(), body);
    }

    Response send(HostAndPort address, String service, String tier, Optional<String> idempotencyKey, String body) {
        return post(address, "/v1/services/" + service + "/requests", body, headers -> {
            headers.set("X-Tier", tier);
            idempotencyKey.ifPresent(key -> headers.set("Idempotency-Key", key));
        });
    }

    /** Commits settings, which needs the credential of an operator. */
    Response commit(HostAndPort address, String body) {
        return post(address, "/v1/settings", body, _headers -> {});
    }

    private Response post(HostAndPort address, String path, String body, Consumer<MutableHeaders> headerSetter) {
        CompletableFuture<Response> result = new CompletableFuture<>();
        URI uri = URI.create("http://" + address + path);
        controller.fork().onError(result::completeExceptionally).start(_execution -> client.post(uri, spec -> {
                    spec.getHeaders().set("Authorization", "Bearer " + credential);
                    headerSetter.accept(spec.getHeaders());
                    spec.getBody().type("application/json").text(body);
                })
                .then(response -> result.complete(new Response(
                        response.getStatusCode(), response.getBody().getText()))));
        return result.join();
    }

    @Override
    public void close() {
        client.close();
        controller.close();
    }
}
