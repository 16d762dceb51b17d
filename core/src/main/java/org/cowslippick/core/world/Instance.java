package org.cowslippick.core.world;

import com.google.common.net.HostAndPort;

/**
 * A machine that runs an entry process.
 *
 * @param callerAddress the HTTP address for callers
 * @param peerAddress the TCP address for other entries
 * @param processors the available processor time in cores
 */
public record Instance(
        InstanceName name,
        FailureDomain failureDomain,
        HostAndPort callerAddress,
        HostAndPort peerAddress,
        double processors) {

    private static final double ONE_PROCESSOR = 1;

    /** Creates an instance whose processor count is unknown; one processor is assumed. */
    public Instance(
            InstanceName name, FailureDomain failureDomain, HostAndPort callerAddress, HostAndPort peerAddress) {
        this(name, failureDomain, callerAddress, peerAddress, ONE_PROCESSOR);
    }

    public Region region() {
        return failureDomain.region();
    }
}
