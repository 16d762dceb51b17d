package org.cowslippick.fleet.peer;

import org.cowslippick.core.world.InstanceName;

/** Hears what happens to the connections on which this entry sends. */
public interface PeerListener {

    /** A connection was opened and authenticated. Messages sent earlier may have been lost. */
    void connected(InstanceName peer);

    /** The connection was lost or fell silent; messages sent on it may have been lost. */
    void disconnected(InstanceName peer);
}
