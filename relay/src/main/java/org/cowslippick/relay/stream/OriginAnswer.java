package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/**
 * What one instance knows of a stream.
 *
 * @param recorded the version that has begun the stream, if its origin is in memory
 * @param possible the versions that the instance knows to have served within the window; none if it has just started
 */
public record OriginAnswer(Optional<String> recorded, ImmutableSet<String> possible) {}
