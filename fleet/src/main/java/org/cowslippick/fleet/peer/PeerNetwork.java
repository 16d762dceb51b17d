package org.cowslippick.fleet.peer;

import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.wire.PeerMessage;

/**
 * Sends typed messages to other entries and delivers theirs. Messages to one peer stay in order for the lifetime of a
 * connection; when it breaks, some may be lost, and {@link PeerListener} is notified. A message to the entry itself is
 * delivered to its own handlers.
 */
public interface PeerNetwork {

    /** Sends a message without blocking; opens a connection if there is none. */
    SendResult send(InstanceName receiver, PeerMessage message);

    /** Delivers messages of the class to the handler until the subscription is cancelled. */
    <M extends PeerMessage> Subscription subscribe(Class<M> messageClass, PeerHandler<M> handler);

    /** Notifies the listener of opened and lost connections until the subscription is cancelled. */
    Subscription addListener(PeerListener listener);

    /** Opens a new connection and closes it after the handshake; true if the handshake succeeded in time. */
    CompletableFuture<Boolean> probe(InstanceName peer);
}
