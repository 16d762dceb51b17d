package org.cowslippick.fleet.claim;

import java.time.Instant;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;

/**
 * Binds a namespace of identities to one incarnation of one entry, which alone dispatches requests under the ticket.
 *
 * @param space the random namespace, so that no two tickets share identities
 * @param expiry the time after which no identity can be claimed under the ticket
 */
public record Ticket(
        InstanceName entry, Incarnation incarnation, OrganisationName organisation, String space, Instant expiry) {}
