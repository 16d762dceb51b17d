package org.cowslippick.scheduler.pool;

/** The health of an endpoint as observed by a pool. */
public enum EndpointState {
    HEALTHY,
    SLOW,
    EJECTED
}
