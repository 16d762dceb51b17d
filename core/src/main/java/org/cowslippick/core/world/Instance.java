package org.cowslippick.core.world;

import com.google.common.net.HostAndPort;

/**
 * A machine that runs an entry process.
 *
 * @param callerAddress where callers connect by HTTP
 * @param peerAddress where other entries connect by TCP
 * @param processors how many cores' worth of processor time it has
 */
public record Instance(
        InstanceName name,
        FailureDomain failureDomain,
        HostAndPort callerAddress,
        HostAndPort peerAddress,
        double processors) {

    private static final double ONE_PROCESSOR = 1;

    /** An instance of which only the addresses are known. */
    public Instance(
            InstanceName name, FailureDomain failureDomain, HostAndPort callerAddress, HostAndPort peerAddress) {
        this(name, failureDomain, callerAddress, peerAddress, ONE_PROCESSOR);
    }

    public Region region() {
        return failureDomain.region();
    }
}
