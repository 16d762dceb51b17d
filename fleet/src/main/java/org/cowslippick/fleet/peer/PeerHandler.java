package org.cowslippick.fleet.peer;

import org.cowslippick.fleet.wire.PeerMessage;

/** Receives messages of one class. Calls come from network threads and must return quickly. */
@FunctionalInterface
public interface PeerHandler<M extends PeerMessage> {
    void received(PeerIdentity sender, M message);
}
