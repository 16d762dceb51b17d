package org.cowslippick.relay.crash;

import java.time.Duration;

/**
 * A content that requests must not have.
 *
 * @param content the id of a part of the prompt, or the fingerprint of the whole request
 * @param remaining how long the quarantine lasts unless an endpoint crashes again
 */
public record QuarantinedContent(String content, Duration remaining) {}
