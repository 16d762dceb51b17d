package org.cowslippick.fleet.claim;

import java.time.Instant;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;

/**
 * Binds a space of identities to one incarnation of one entry: nobody else ever dispatches a request under it.
 *
 * @param space random, so that no two tickets share identities
 * @param expiry no identity is claimed under the ticket later
 */
public record Ticket(
        InstanceName entry, Incarnation incarnation, OrganisationName organisation, String space, Instant expiry) {}
