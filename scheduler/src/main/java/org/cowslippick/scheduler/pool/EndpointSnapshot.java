package org.cowslippick.scheduler.pool;

import java.time.Duration;
import org.cowslippick.core.world.EndpointName;

/** The state of one endpoint as observed by a pool. */
public record EndpointSnapshot(
        EndpointName endpoint,
        int inFlight,
        int window,
        Duration timeToFirstToken,
        Duration betweenTokens,
        EndpointState state) {}
