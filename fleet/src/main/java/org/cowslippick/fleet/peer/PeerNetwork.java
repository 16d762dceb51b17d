package org.cowslippick.fleet.peer;

import java.util.concurrent.CompletableFuture;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.wire.PeerMessage;

/**
 * Sends typed messages to other entries and delivers theirs. Messages to one peer keep their order while one connection
 * lasts; when it breaks, some may be lost, and {@link PeerListener} is told. A message to the entry itself is delivered
 * like any other.
 */
public interface PeerNetwork {

    /** Sends a message, opening a connection if there is none. Returns at once. */
    SendResult send(InstanceName receiver, PeerMessage message);

    /** Delivers messages of the class to the handler, until cancelled. */
    <M extends PeerMessage> Subscription subscribe(Class<M> messageClass, PeerHandler<M> handler);

    /** Tells the listener of connections opened and lost, until cancelled. */
    Subscription listen(PeerListener listener);

    /** Opens a new connection only to see whether the peer answers the hello; true if it did in time. */
    CompletableFuture<Boolean> probe(InstanceName peer);
}
