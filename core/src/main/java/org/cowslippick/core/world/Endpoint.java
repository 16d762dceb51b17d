package org.cowslippick.core.world;

import com.google.common.net.HostAndPort;

/**
 * A back end that runs requests.
 *
 * @param concurrency the most requests that it runs at once before anything was observed of it
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
