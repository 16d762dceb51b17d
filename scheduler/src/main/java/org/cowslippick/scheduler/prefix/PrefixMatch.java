package org.cowslippick.scheduler.prefix;

import org.cowslippick.core.world.EndpointName;

/**
 * An endpoint that probably holds the start of a prompt.
 *
 * @param share how much of the prompt it holds, from 0 to 1
 */
public record PrefixMatch(EndpointName endpoint, double share) {}
