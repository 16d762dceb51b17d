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

/** Sends single requests and waits for whole answers. */
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

    record Answer(int status, String body) {}

    Answer send(HostAndPort address, String service, String tier, String body) {
        return send(address, service, tier, Optional.empty(), body);
    }

    Answer send(HostAndPort address, String service, String tier, Optional<String> idempotencyKey, String body) {
        return post(address, "/v1/services/" + service + "/requests", body, headers -> {
            headers.set("X-Tier", tier);
            idempotencyKey.ifPresent(key -> headers.set("Idempotency-Key", key));
        });
    }

    /** Commits settings, as an operator does. */
    Answer commit(HostAndPort address, String body) {
        return post(address, "/v1/settings", body, _headers -> {});
    }

    private Answer post(HostAndPort address, String path, String body, Consumer<MutableHeaders> more) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        URI uri = URI.create("http://" + address + path);
        controller.fork().onError(answer::completeExceptionally).start(_execution -> client.post(uri, spec -> {
                    spec.getHeaders().set("Authorization", "Bearer " + credential);
                    more.accept(spec.getHeaders());
                    spec.getBody().type("application/json").text(body);
                })
                .then(response -> answer.complete(
                        new Answer(response.getStatusCode(), response.getBody().getText()))));
        return answer.join();
    }

    @Override
    public void close() {
        client.close();
        controller.close();
    }
}
