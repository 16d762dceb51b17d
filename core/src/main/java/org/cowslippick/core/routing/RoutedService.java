package org.cowslippick.core.routing;

import org.cowslippick.core.world.ServiceName;

/**
 * A service that routes name.
 *
 * @param tokensPerEvent how many tokens one event of a stream holds; 0 for application services
 * @param maximumConnections the most connections that one endpoint accepts from all callers together
 */
public record RoutedService(ServiceName name, String healthPath, int tokensPerEvent, int maximumConnections) {}
