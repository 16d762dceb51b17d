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

/** Reads one streamed answer and notes when its tokens came. Runs on the event loop of its connection. */
// Netty tells of failed writes and closes by the channel.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerHandler extends SimpleChannelInboundHandler<HttpObject> {

    static final String CONNECTION_LOST = "connection-lost-or-unanswered";
    private static final String TOKEN_MARK = "\"offset\":";
    private static final String QUEUE_MARK = "\"queueMilliseconds\":";
    private static final String DATA = "data: ";
    private static final int OK_STATUS = 200;

    private final TracedRequest request;
    private final long intendedNanos;
    private final long sentNanos;
    private final CompletableFuture<CallOutcome> outcome;
    private final StringBuilder unread = new StringBuilder();
    private int status;
    private int tokens;
    private long firstTokenNanos;
    private long lastTokenNanos;
    private long queueMilliseconds;
    private long entryFirstTokenMilliseconds;
    private Optional<String> error = Optional.empty();

    CallerHandler(TracedRequest request, long intendedNanos, long sentNanos, CompletableFuture<CallOutcome> outcome) {
        this.request = request;
        this.intendedNanos = intendedNanos;
        this.sentNanos = sentNanos;
        this.outcome = outcome;
    }

    /** Ends the outcome with an error unless it has ended. */
    void fail(String kind) {
        error = Optional.of(kind);
        complete();
    }

    boolean firstTokenSeen() {
        return tokens > 0;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpResponse response) {
            status = response.status().code();
        }
        if (message instanceof HttpContent content) {
            unread.append(content.content().toString(StandardCharsets.UTF_8));
            if (status == OK_STATUS) {
                readLines();
            }
        }
        if (message instanceof LastHttpContent) {
            end();
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
        for (int end = unread.indexOf("\n"); end >= 0; end = unread.indexOf("\n", start)) {
            line(unread.substring(start, end));
            start = end + 1;
        }
        unread.delete(0, start);
    }

    private void line(String line) {
        if (!line.startsWith(DATA)) {
            return;
        }
        if (line.contains(TOKEN_MARK)) {
            lastTokenNanos = System.nanoTime() - intendedNanos;
            firstTokenNanos = tokens == 0 ? lastTokenNanos : firstTokenNanos;
            tokens++;
        } else if (line.startsWith("{\"error\":", DATA.length())) {
            error = errorKind(line.substring(DATA.length()));
        } else if (line.contains(QUEUE_MARK)) {
            readReceipt(line.substring(DATA.length()));
        }
    }

    private void readReceipt(String text) {
        Json.read(text).ifPresent(receipt -> {
            queueMilliseconds = receipt.path("queueMilliseconds").asLong();
            entryFirstTokenMilliseconds =
                    receipt.path("timeToFirstTokenMilliseconds").asLong();
        });
    }

    private void end() {
        if (status != OK_STATUS) {
            error = errorKind(unread.toString());
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
