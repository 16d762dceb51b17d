package org.cowslippick.relay.stream;

import java.util.Optional;

/**
 * What one instance knows of a stream.
 *
 * @param recorded the version that has begun the stream, if its origin is in memory
 * @param onlyVersion the version that alone can have begun streams of the service, as far as the instance knows; empty if
 *     there are several, or the instance has not read the registry
 */
public record OriginAnswer(Optional<String> recorded, Optional<String> onlyVersion) {}
