package org.cowslippick.scheduler.stream;

import java.util.Optional;
import java.util.OptionalLong;
import org.cowslippick.core.routing.LiveEndpoint;

/**
 * What a request asks of the software version of its endpoint.
 *
 * @param stream a hash of the caller's attempt that brought the first event; empty if the stream cannot be resumed
 * @param requiredVersion the version that has begun the stream; empty if any may begin it
 */
public record StreamTerms(OptionalLong stream, Optional<String> requiredVersion) {

    /** The terms of a request whose response cannot be resumed. */
    public static final StreamTerms NONE = new StreamTerms(OptionalLong.empty(), Optional.empty());

    /** Whether an endpoint of this version may serve the request. */
    public boolean allows(LiveEndpoint endpoint) {
        return requiredVersion.isEmpty() || requiredVersion.get().equals(endpoint.softwareVersion());
    }

    /** Whether the request continues a stream that a version has begun. */
    public boolean isResumption() {
        return requiredVersion.isPresent();
    }
}
