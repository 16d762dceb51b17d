package org.cowslippick.core.world;

import com.google.common.net.HostAndPort;

/**
 * A machine that runs an entry process.
 *
 * @param callerAddress where callers connect by HTTP
 * @param peerAddress where other entries connect by TCP
 */
public record Instance(
        InstanceName name, FailureDomain failureDomain, HostAndPort callerAddress, HostAndPort peerAddress) {

    public Region region() {
        return failureDomain.region();
    }
}
