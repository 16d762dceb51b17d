package org.cowslippick.scheduler.pool;

/** How far a pool trusts an endpoint. */
public enum EndpointState {
    HEALTHY,
    SLOW,
    EJECTED
}
