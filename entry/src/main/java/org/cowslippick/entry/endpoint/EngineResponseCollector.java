package org.cowslippick.entry.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

/** Collects a response whose body arrives in one part. */
final class EngineResponseCollector implements EngineResponseListener {

    private final CompletableFuture<EngineResponse> result = new CompletableFuture<>();
    private EngineResponse received;

    CompletableFuture<EngineResponse> result() {
        return result;
    }

    @Override
    public void headReceived(int status, HttpHeaders headers) {
        received = new EngineResponse(status, headers, "");
    }

    @Override
    public void contentReceived(ByteBuf content) {
        received = new EngineResponse(received.status(), received.headers(), content.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void ended() {
        result.complete(received);
    }

    @Override
    public void failed(Throwable cause) {
        result.completeExceptionally(cause);
    }
}
