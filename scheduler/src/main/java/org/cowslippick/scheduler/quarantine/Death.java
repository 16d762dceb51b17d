package org.cowslippick.scheduler.quarantine;

import org.cowslippick.core.world.EndpointName;

/**
 * The crash of an endpoint, attributed to a content; what entries tell each other.
 *
 * @param ageNanos how long ago it was
 */
public record Death(long contentFingerprint, EndpointName endpoint, long ageNanos) {}
