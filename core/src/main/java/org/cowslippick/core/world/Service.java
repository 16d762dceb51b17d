package org.cowslippick.core.world;

/** Something that callers send requests to, served by the endpoints of one pool. */
public record Service(ServiceName name, PoolName pool, EndpointKind kind, String model, DispatchRule dispatchRule) {}
