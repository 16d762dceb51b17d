package org.cowslippick.fleet.peer;

import com.google.common.collect.ImmutableList;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.wire.PeerMessage;

/**
 * Sends a message to a few random entries; a receiver to which the content is new broadcasts it in turn ("Epidemic
 * Algorithms for Replicated Database Maintenance", Demers et al. 1987, rumor mongering).
 */
public final class EpidemicBroadcast implements PeerBroadcast {

    private static final int FANOUT = 4;

    private final PeerNetwork network;
    private final Supplier<ImmutableList<InstanceName>> livePeers;
    private final RandomGenerator random;

    /** Creates a broadcast to {@code livePeers}, the live entries without this one. */
    public EpidemicBroadcast(
            PeerNetwork network, Supplier<ImmutableList<InstanceName>> livePeers, RandomGenerator random) {
        this.network = network;
        this.livePeers = livePeers;
        this.random = random;
    }

    @Override
    public void broadcast(PeerMessage message) {
        ImmutableList<InstanceName> peers = livePeers.get();
        if (peers.size() <= FANOUT) {
            peers.forEach(peer -> network.send(peer, message));
        } else {
            random.ints(FANOUT, 0, peers.size()).distinct().forEach(index -> network.send(peers.get(index), message));
        }
    }

    /** Does nothing: broadcasts arrive as ordinary messages, to handlers subscribed at the {@link PeerNetwork}. */
    @Override
    public <M extends PeerMessage> Subscription subscribe(Class<M> _messageClass, PeerHandler<M> _handler) {
        return () -> {};
    }
}
