package org.cowslippick.scheduler.pool;

import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.world.EndpointName;

/** A dispatched request, as its entry reports it to a new owner of the pool. */
public record InFlightAttempt(RequestDescriptor request, EndpointName endpoint, int attempt, long dispatchedAtNanos) {}
