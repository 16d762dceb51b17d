package org.cowslippick.standin.bench;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cowslippick.entry.endpoint.Json;

/** Reads a streamed answer and records the times of its tokens. Runs on the event loop of its connection. */
// Netty reports failed writes and closes through channel events.
@SuppressWarnings("FutureReturnValueIgnored")
final class TokenStreamHandler extends SimpleChannelInboundHandler<HttpObject> {

    static final String CONNECTION_LOST = "connection-lost-or-unanswered";
    private static final String TOKEN_FIELD = "\"offset\":";
    private static final String QUEUE_FIELD = "\"queueMilliseconds\":";
    private static final String DATA_PREFIX = "data: ";
    private static final int OK_STATUS = 200;

    private final TracedRequest request;
    private final long intendedNanos;
    private final long sentNanos;
    private final CompletableFuture<CallOutcome> outcome;
    private final StringBuilder unreadText = new StringBuilder();
    private int status;
    private int tokens;
    private long firstTokenNanos;
    private long lastTokenNanos;
    private long queueMilliseconds;
    private long entryFirstTokenMilliseconds;
    private Optional<String> error = Optional.empty();

    TokenStreamHandler(
            TracedRequest request, long intendedNanos, long sentNanos, CompletableFuture<CallOutcome> outcome) {
        this.request = request;
        this.intendedNanos = intendedNanos;
        this.sentNanos = sentNanos;
        this.outcome = outcome;
    }

    /** Completes the outcome with an error unless it is already complete. */
    void fail(String kind) {
        error = Optional.of(kind);
        complete();
    }

    boolean hasFirstToken() {
        return tokens > 0;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpResponse response) {
            status = response.status().code();
        }
        if (message instanceof HttpContent content) {
            unreadText.append(content.content().toString(StandardCharsets.UTF_8));
            if (status == OK_STATUS) {
                readLines();
            }
        }
        if (message instanceof LastHttpContent) {
            endResponse();
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        fail(CONNECTION_LOST);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
        context.close();
    }

    private void readLines() {
        int start = 0;
        for (int end = unreadText.indexOf("\n"); end >= 0; end = unreadText.indexOf("\n", start)) {
            readLine(unreadText.substring(start, end));
            start = end + 1;
        }
        unreadText.delete(0, start);
    }

    private void readLine(String line) {
        if (!line.startsWith(DATA_PREFIX)) {
            return;
        }
        if (line.contains(TOKEN_FIELD)) {
            lastTokenNanos = System.nanoTime() - intendedNanos;
            firstTokenNanos = tokens == 0 ? lastTokenNanos : firstTokenNanos;
            tokens++;
        } else if (line.startsWith("{\"error\":", DATA_PREFIX.length())) {
            error = errorKind(line.substring(DATA_PREFIX.length()));
        } else if (line.contains(QUEUE_FIELD)) {
            readReceipt(line.substring(DATA_PREFIX.length()));
        }
    }

    private void readReceipt(String text) {
        Json.read(text).ifPresent(receipt -> {
            queueMilliseconds = receipt.path("queueMilliseconds").asLong();
            entryFirstTokenMilliseconds =
                    receipt.path("timeToFirstTokenMilliseconds").asLong();
        });
    }

    private void endResponse() {
        if (status != OK_STATUS) {
            error = errorKind(unreadText.toString());
        }
        complete();
    }

    private void complete() {
        outcome.complete(new CallOutcome(
                request,
                sentNanos - intendedNanos,
                firstTokenNanos,
                lastTokenNanos,
                tokens,
                error.isEmpty() && tokens == request.answerTokens(),
                queueMilliseconds,
                entryFirstTokenMilliseconds,
                error));
    }

    private Optional<String> errorKind(String body) {
        String text = Json.read(body).map(json -> json.path("error").asText()).orElse("");
        return Optional.of(text.isEmpty() ? "status-" + status : text);
    }
}
