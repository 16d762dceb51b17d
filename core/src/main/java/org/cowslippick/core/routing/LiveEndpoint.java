package org.cowslippick.core.routing;

import com.google.common.net.HostAndPort;
import org.cowslippick.core.world.FailureDomain;
import org.cowslippick.core.world.ServiceName;

/**
 * One run of an endpoint as it registered itself.
 *
 * @param id the name that the endpoint answers to; another run may use it again
 * @param version the version of the configuration store at its registration
 * @param slots how many requests it runs at once
 * @param leaving whether it asked for no new work
 */
public record LiveEndpoint(
        String id,
        ServiceName service,
        HostAndPort address,
        FailureDomain failureDomain,
        int slots,
        boolean leaving,
        long version) {}
