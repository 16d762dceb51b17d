package org.cowslippick.scheduler.link;

import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.Tier;

/**
 * A request that would be carried to another region.
 *
 * @param contractPays whether the contract of its organisation pays for links
 * @param bytes request and predicted answer together
 */
public record Crossing(Region from, Region to, Tier tier, boolean contractPays, long bytes) {}
