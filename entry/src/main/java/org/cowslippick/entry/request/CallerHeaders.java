package org.cowslippick.entry.request;

import java.util.Optional;

/** The headers of a request that matter, as the caller sent them. */
public record CallerHeaders(
        Optional<String> authorization,
        Optional<String> idempotencyKey,
        Optional<String> ticket,
        Optional<String> tier,
        Optional<String> deadlineMilliseconds) {}
