package org.cowslippick.core.routing;

import java.util.Optional;
import org.cowslippick.core.world.OrganisationName;

/**
 * The priority and the quota of an organisation. The quota applies across all instances.
 *
 * @param rank overrides the rank of the route if present
 */
public record OrganisationAccess(OrganisationName name, Optional<Integer> rank, Quota quota) {}
