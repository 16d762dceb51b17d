package org.cowslippick.fleet.order;

/** An idempotent order to an endpoint, such as to load a model. */
public record EndpointOrder(OrderKind kind, String target) {}
