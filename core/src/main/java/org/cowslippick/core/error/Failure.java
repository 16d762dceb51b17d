package org.cowslippick.core.error;

import java.time.Duration;
import java.util.Optional;

/**
 * An error with its details.
 *
 * @param detail one sentence that names the request, endpoint or setting involved
 * @param retryAfter the predicted delay until a retry succeeds; empty without a prediction
 */
public record Failure(ErrorKind kind, String detail, Optional<Duration> retryAfter) {

    public static Failure of(ErrorKind kind, String detail) {
        return new Failure(kind, detail, Optional.empty());
    }

    public static Failure retryAfter(ErrorKind kind, String detail, Duration retryAfter) {
        return new Failure(kind, detail, Optional.of(retryAfter));
    }
}
