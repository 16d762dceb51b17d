package org.cowslippick.core.routing;

import org.cowslippick.core.world.ServiceName;

/**
 * A service that is the target of routes.
 *
 * @param tokensPerEvent the number of tokens in one event of a stream; 0 for application services
 * @param maximumConnections the maximum number of connections that one endpoint accepts in total
 * @param memoryTokens the prompt and answer tokens that one engine of the service can hold; 0 if unknown
 */
public record RoutedService(
        ServiceName name, String healthPath, int tokensPerEvent, int maximumConnections, long memoryTokens) {}
