package org.cowslippick.fleet.order;

/** One order, such as to load a model. Giving it again changes nothing. */
public record EndpointOrder(OrderKind kind, String target) {}
