package org.cowslippick.core.routing;

import java.util.Optional;
import org.cowslippick.core.world.OrganisationName;

/**
 * What an organisation may ask for, over all instances together.
 *
 * @param rank goes before the rank of a route, where present
 * @param quota how much it may use
 */
public record OrganisationAccess(OrganisationName name, Optional<Integer> rank, Quota quota) {}
