package org.cowslippick.fleet.peer;

import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.fleet.wire.PeerMessage;

/**
 * Broadcasts a message to every live entry. Entries relay it, so that no entry sends more than a few copies and each
 * pair of regions carries one. Best effort: users that need every message delivered must add anti-entropy.
 */
public interface PeerBroadcast {

    /** Sends a message to every other live entry. */
    void broadcast(PeerMessage message);

    /** Delivers broadcast messages of the class to the handler until the subscription is cancelled. */
    <M extends PeerMessage> Subscription subscribe(Class<M> messageClass, PeerHandler<M> handler);
}
