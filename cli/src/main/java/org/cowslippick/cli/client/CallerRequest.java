package org.cowslippick.cli.client;

import java.time.Duration;
import java.util.Optional;

/**
 * A request to a service.
 *
 * @param idempotencyKey identifies the request; all attempts of one request carry the same key
 * @param body JSON as specified in docs/INTERFACES.md for the kind of the service
 */
public record CallerRequest(
        String service, String idempotencyKey, String body, Optional<String> tier, Optional<Duration> deadline) {

    public static CallerRequest of(String service, String idempotencyKey, String body) {
        return new CallerRequest(service, idempotencyKey, body, Optional.empty(), Optional.empty());
    }
}
