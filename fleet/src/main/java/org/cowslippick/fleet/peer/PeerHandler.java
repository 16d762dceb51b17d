package org.cowslippick.fleet.peer;

import org.cowslippick.fleet.wire.PeerMessage;

/** Handles messages of one class. Called on network threads; must not block. */
@FunctionalInterface
public interface PeerHandler<M extends PeerMessage> {
    void handle(PeerIdentity sender, M message);
}
