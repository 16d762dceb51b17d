package org.cowslippick.relay.stream;

import com.google.common.collect.ImmutableMap;
import org.cowslippick.core.world.ServiceName;

/**
 * The software versions of a service that may have begun streams, as the store holds them.
 *
 * @param revision the revision of the store's entry; 0 if there is none yet
 * @param lastPresent the versions, each with the Unix milliseconds at which an instance last confirmed it
 */
public record RegisteredVersions(ServiceName service, long revision, ImmutableMap<String, Long> lastPresent) {}
