package org.cowslippick.core.world;

/** A target of caller requests, served by the endpoints of one pool. */
public record Service(ServiceName name, PoolName pool, EndpointKind kind, String model, DispatchRule dispatchRule) {}
