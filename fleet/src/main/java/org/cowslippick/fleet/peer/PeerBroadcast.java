package org.cowslippick.fleet.peer;

import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.fleet.wire.PeerMessage;

/**
 * Sends one message to every live entry, relayed so that no entry sends more than a few copies and each pair of regions
 * carries one. Best effort: whoever relies on it needs anti-entropy besides.
 */
public interface PeerBroadcast {

    /** Sends a message to every other live entry. */
    void broadcast(PeerMessage message);

    /** Delivers broadcast messages of the class to the handler, until cancelled. */
    <M extends PeerMessage> Subscription subscribe(Class<M> messageClass, PeerHandler<M> handler);
}
