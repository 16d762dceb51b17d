package org.cowslippick.core.routing;

import org.cowslippick.core.world.ServiceName;

/**
 * A service that routes name.
 *
 * @param maximumConnections the most connections that one endpoint accepts from all callers together
 */
public record RoutedService(ServiceName name, String healthPath, int maximumConnections) {}
