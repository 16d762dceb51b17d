package org.cowslippick.core.routing;

import com.google.common.net.HostAndPort;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.ServiceName;

/**
 * One registered run of an endpoint.
 *
 * @param id the name of the endpoint, which a later run may reuse
 * @param version the version of the configuration store at its registration
 * @param slots the maximum number of concurrent requests
 * @param leaving whether it has asked to receive no new requests
 */
public record LiveEndpoint(
        String id,
        ServiceName service,
        HostAndPort address,
        FailureDomain failureDomain,
        int slots,
        boolean leaving,
        long version) {}
