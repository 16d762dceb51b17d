package org.cowslippick.core.timeline;

import java.time.Instant;
import java.util.Optional;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;

/**
 * One thing that happened at one entry.
 *
 * @param logicalTime a Lamport clock: an event that caused another has the lower value
 * @param detail one short sentence without secrets
 */
public record TimelineEvent(
        InstanceName instance,
        long logicalTime,
        Instant time,
        EventKind kind,
        Optional<RequestId> request,
        Optional<EndpointName> endpoint,
        Optional<OrganisationName> organisation,
        String detail) {}
