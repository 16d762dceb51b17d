package org.cowslippick.relay.caller;

import com.google.common.base.Strings;
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
import org.cowslippick.core.error.Failure;

/**
 * The response to one request: complete, or streamed in chunks. Each method except {@link #sendChunk} is called at most
 * once.
 */
public final class CallerExchange {

    private static final long MILLISECONDS_PER_SECOND = 1000;
    private static final int FRACTION_DIGITS = 3;

    private final CallerConnection connection;
    private final boolean withoutBody;

    /**
     * Creates the response to a request.
     *
     * @param withoutBody whether the request is a HEAD request, whose response ends with its head
     */
    CallerExchange(CallerConnection connection, boolean withoutBody) {
        this.connection = connection;
        this.withoutBody = withoutBody;
    }

    /** Responds with an error that this relay generated. */
    public void fail(Failure failure) {
        byte[] body = (failure.kind().text() + ": " + failure.detail() + "\n").getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(failure.kind().httpStatus()),
                withoutBody ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        failure.retryAfter()
                .ifPresent(delay -> response.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(delay)));
        connection.writeLast(response);
    }

    /** Responds with the complete response of an endpoint. */
    public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().add(headers).set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        connection.writeLast(response);
    }

    /** Starts a streamed response. */
    public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        head.headers().add(headers).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        connection.write(head);
    }

    public void sendChunk(ByteBuf bytes) {
        connection.write(new DefaultHttpContent(bytes));
    }

    /** Completes a streamed response. */
    public void endResponse() {
        connection.writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Closes the connection in the middle of a response so that the caller detects the truncation. */
    public void abort() {
        connection.abort();
    }

    private static String formatSeconds(Duration delay) {
        long milliseconds = Math.max(0, delay.toMillis());
        return milliseconds / MILLISECONDS_PER_SECOND
                + "."
                + Strings.padStart(String.valueOf(milliseconds % MILLISECONDS_PER_SECOND), FRACTION_DIGITS, '0');
    }
}
