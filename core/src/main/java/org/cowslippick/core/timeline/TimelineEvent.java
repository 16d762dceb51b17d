package org.cowslippick.core.timeline;

import java.time.Instant;
import java.util.Optional;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;

/**
 * An event that one entry recorded.
 *
 * @param logicalTime the Lamport clock of the event, lower than that of every event it caused
 * @param detail one short sentence, which must not contain secrets
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
