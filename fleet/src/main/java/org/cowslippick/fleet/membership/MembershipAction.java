package org.cowslippick.fleet.membership;

import org.cowslippick.core.world.InstanceName;

/** An action that {@link MembershipState} requests from its caller. */
interface MembershipAction {

    record Send(InstanceName receiver, Gossip gossip) implements MembershipAction {}

    /** Check whether a new connection to the peer can be opened. */
    record ProbeConnection(InstanceName peer) implements MembershipAction {}
}
