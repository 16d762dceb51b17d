package org.cowslippick.cli.client;

import java.time.Duration;
import java.util.Optional;

/**
 * One piece of work for a service.
 *
 * @param idempotencyKey names the work; every attempt of the same work has the same key
 * @param body the JSON that docs/INTERFACES.md gives for the service's kind
 */
public record CallerRequest(
        String service, String idempotencyKey, String body, Optional<String> tier, Optional<Duration> deadline) {

    public static CallerRequest of(String service, String idempotencyKey, String body) {
        return new CallerRequest(service, idempotencyKey, body, Optional.empty(), Optional.empty());
    }
}
