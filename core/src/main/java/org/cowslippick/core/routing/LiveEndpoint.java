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
 * @param startedAtMilliseconds when the run started, by the endpoint's own clock; 0 if unknown
 * @param softwareVersion the version of the endpoint's software; empty if unknown
 */
public record LiveEndpoint(
        String id,
        ServiceName service,
        HostAndPort address,
        FailureDomain failureDomain,
        int slots,
        boolean leaving,
        long version,
        long startedAtMilliseconds,
        String softwareVersion) {

    /** Creates an endpoint whose software version is unknown. */
    public LiveEndpoint(
            String id,
            ServiceName service,
            HostAndPort address,
            FailureDomain failureDomain,
            int slots,
            boolean leaving,
            long version,
            long startedAtMilliseconds) {
        this(id, service, address, failureDomain, slots, leaving, version, startedAtMilliseconds, "");
    }

    /** Creates an endpoint whose start is unknown. */
    public LiveEndpoint(
            String id,
            ServiceName service,
            HostAndPort address,
            FailureDomain failureDomain,
            int slots,
            boolean leaving,
            long version) {
        this(id, service, address, failureDomain, slots, leaving, version, 0);
    }

    /** Whether both are the same run; another one may reuse the name or the address. */
    public boolean isSameRun(LiveEndpoint other) {
        return id.equals(other.id)
                && address.equals(other.address)
                && startedAtMilliseconds == other.startedAtMilliseconds;
    }
}
