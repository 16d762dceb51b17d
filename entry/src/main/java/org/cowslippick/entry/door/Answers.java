package org.cowslippick.entry.door;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.error.Failure;
import org.cowslippick.entry.endpoint.Json;
import ratpack.handling.Context;
import ratpack.http.Headers;

/** Sends JSON and errors to callers. */
final class Answers {

    private static final String JSON = "application/json";
    private static final long MILLISECONDS_PER_SECOND = 1000;

    private Answers() {}

    static void json(Context context, int status, Object body) {
        context.getResponse().status(status).send(JSON, Json.write(body));
    }

    static void error(Context context, Failure failure) {
        error(context, failure, ErrorBody.of(failure));
    }

    static void error(Context context, Failure failure, ErrorBody body) {
        failure.retryAfter()
                .ifPresent(after -> context.getResponse().getHeaders().set("Retry-After", seconds(after)));
        json(context, failure.kind().httpStatus(), body);
    }

    static Optional<String> header(Context context, String name) {
        Headers headers = context.getRequest().getHeaders();
        return Optional.ofNullable(headers.get(name));
    }

    /** HTTP counts retry-after in whole seconds (RFC 9110, section 10.2.3); the body has the milliseconds. */
    private static String seconds(Duration after) {
        return Long.toString((after.toMillis() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND);
    }
}
