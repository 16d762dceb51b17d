package org.cowslippick.entry.http;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.error.Failure;
import org.cowslippick.entry.endpoint.Json;
import ratpack.handling.Context;
import ratpack.http.Headers;

/** Reads request headers and sends JSON responses and errors. */
final class Responses {

    private static final String JSON = "application/json";
    private static final long MILLISECONDS_PER_SECOND = 1000;

    private Responses() {}

    static void sendJson(Context context, int status, Object body) {
        context.getResponse().status(status).send(JSON, Json.write(body));
    }

    static void sendError(Context context, Failure failure) {
        sendError(context, failure, ErrorBody.of(failure));
    }

    static void sendError(Context context, Failure failure, ErrorBody body) {
        failure.retryAfter()
                .ifPresent(after -> context.getResponse().getHeaders().set("Retry-After", roundUpToSeconds(after)));
        sendJson(context, failure.kind().httpStatus(), body);
    }

    static Optional<String> header(Context context, String name) {
        Headers headers = context.getRequest().getHeaders();
        return Optional.ofNullable(headers.get(name));
    }

    /** Retry-After is in whole seconds (RFC 9110, section 10.2.3); the body states the delay in milliseconds. */
    private static String roundUpToSeconds(Duration after) {
        return Long.toString((after.toMillis() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
    }
}
