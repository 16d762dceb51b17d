package org.cowslippick.scheduler.prefix;

import org.cowslippick.core.world.EndpointName;

/**
 * An endpoint that probably has a prefix of a prompt in its cache.
 *
 * @param share the cached share of the prompt, from 0 to 1
 */
public record PrefixMatch(EndpointName endpoint, double share) {}
