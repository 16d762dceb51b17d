package org.cowslippick.entry.request;

import java.util.Optional;

/** The headers that the entry evaluates, as the caller sent them. */
public record CallerHeaders(
        Optional<String> authorization,
        Optional<String> idempotencyKey,
        Optional<String> ticket,
        Optional<String> tier,
        Optional<String> deadlineMilliseconds) {}
