package org.cowslippick.fleet.peer;

import com.google.common.net.HostAndPort;
import java.util.Optional;
import org.cowslippick.core.world.InstanceName;

/** Resolves the peer address of an entry. */
@FunctionalInterface
public interface PeerDirectory {
    Optional<HostAndPort> peerAddress(InstanceName name);
}
