package org.cowslippick.scheduler.quarantine;

import org.cowslippick.core.world.EndpointName;

/**
 * The crash of an endpoint, attributed to a request content. Entries exchange these.
 *
 * @param ageNanos the time since the crash
 */
public record AttributedCrash(long contentFingerprint, EndpointName endpoint, long ageNanos) {}
