package org.cowslippick.scheduler.link;

import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.Tier;

/**
 * The transfer of a request to another region.
 *
 * @param isCoveredByContract whether the organisation's contract pays for cross-region transfer
 * @param bytes the size of the request and of its predicted answer
 */
public record LinkTransfer(Region from, Region to, Tier tier, boolean isCoveredByContract, long bytes) {}
