package org.cowslippick.relay.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.cowslippick.core.error.Failure;

/** The answer to one request: whole, or as a stream of parts. Each method is called at most once but for parts. */
public final class CallerExchange {

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final CallerConnection connection;

    CallerExchange(CallerConnection connection) {
        this.connection = connection;
    }

    /** Answers with a failure of the product's own. */
    public void fail(Failure failure) {
        byte[] text = (failure.kind().text() + ": " + failure.detail() + "\n").getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(failure.kind().httpStatus()),
                Unpooled.wrappedBuffer(text));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        failure.retryAfter().ifPresent(delay -> response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(delay)));
        connection.writeLast(response);
    }

    /** Answers with an endpoint's whole answer. */
    public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().add(headers).set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        connection.writeLast(response);
    }

    /** Starts an answer that follows in parts. */
    public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        head.headers().add(headers).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        connection.write(head);
    }

    /** Sends a part. */
    public void sendChunk(ByteBuf bytes) {
        connection.write(new DefaultHttpContent(bytes));
    }

    /** Marks the answer as whole. */
    public void endResponse() {
        connection.writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Breaks an answer off so that the caller sees that it is not whole. */
    public void abort() {
        connection.abort();
    }

    static String seconds(Duration delay) {
        return String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLISECONDS_PER_SECOND);
    }
}
