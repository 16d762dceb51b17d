package org.cowslippick.fleet.peer;

import org.cowslippick.core.world.InstanceName;

/** Receives state changes of the connections on which this entry sends. */
public interface PeerListener {

    /** A connection was opened and authenticated. Messages sent earlier may have been lost. */
    void connected(InstanceName peer);

    /** Connecting failed, or the connection was lost or timed out; messages sent on it may have been lost. */
    void disconnected(InstanceName peer);
}
