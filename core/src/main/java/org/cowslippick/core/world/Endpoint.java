package org.cowslippick.core.world;

import com.google.common.net.HostAndPort;

/**
 * A process that executes requests, such as a model engine or an application.
 *
 * @param concurrency the initial concurrency limit, used until the endpoint has been observed
 */
public record Endpoint(
        EndpointName name,
        PoolName pool,
        EndpointKind kind,
        FailureDomain failureDomain,
        HostAndPort address,
        int concurrency,
        FencingSupport fencing) {

    public Endpoint {
        if (concurrency <= 0) {
            throw new IllegalArgumentException("concurrency of endpoint " + name + " must be positive: " + concurrency);
        }
    }

    public PoolKey poolKey() {
        return new PoolKey(pool, failureDomain.region());
    }
}
