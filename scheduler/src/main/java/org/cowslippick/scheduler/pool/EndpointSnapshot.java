package org.cowslippick.scheduler.pool;

import java.time.Duration;
import org.cowslippick.core.world.EndpointName;

/** What a pool knows of one endpoint. */
public record EndpointSnapshot(
        EndpointName endpoint,
        int inFlight,
        int window,
        Duration timeToFirstToken,
        Duration betweenTokens,
        EndpointState state) {}
