package org.cowslippick.fleet.membership;

import org.cowslippick.core.world.InstanceName;

/** What the state machine wants done. */
interface MembershipAction {

    /** Send a message. */
    record Send(InstanceName receiver, Gossip gossip) implements MembershipAction {}

    /** See whether a new connection to an entry works. */
    record Confirm(InstanceName peer) implements MembershipAction {}
}
