package org.cowslippick.fleet.grant;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.fleet.peer.SendResult;

/** Sends pool messages to other entries over the network, and to this entry by a direct call. */
final class GrantTransport {

    private final Supplier<PeerIdentity> self;
    private final PeerNetwork network;

    GrantTransport(Supplier<PeerIdentity> self, PeerNetwork network) {
        this.self = self;
        this.network = network;
    }

    PeerIdentity self() {
        return self.get();
    }

    /** Returns whether the message was queued; {@code local} receives it if the receiver is this entry. */
    <M extends PoolMessage> boolean send(InstanceName receiver, M message, Consumer<M> local) {
        if (receiver.equals(self.get().name())) {
            local.accept(message);
            return true;
        }
        return network.send(receiver, message) == SendResult.QUEUED;
    }
}
