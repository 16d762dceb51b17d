package org.cowslippick.fleet.settings;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.cowslippick.core.settings.SettingsDocument;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.peer.InMemoryPeerNetworks;
import org.cowslippick.fleet.peer.PeerBroadcast;
import org.cowslippick.fleet.peer.PeerHandler;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.fleet.platform.FakePlatform;
import org.cowslippick.fleet.wire.MessageTypes;
import org.cowslippick.fleet.wire.PeerMessage;

/** Replicas of several entries over one platform and an in-memory network that loses all broadcasts. */
public final class SettingsCluster {

    private final ManualTimerService timer = new ManualTimerService();
    private final FakePlatform platform = new FakePlatform();
    private final InMemoryPeerNetworks peers =
            new InMemoryPeerNetworks(timer, new MessageTypes(SettingsMessages.TYPES));
    private final SettingsStore store = new SettingsStore(platform, timer);
    private final Map<InstanceName, SettingsReplica> replicas = new HashMap<>();

    public FakePlatform platform() {
        return platform;
    }

    public SettingsStore store() {
        return store;
    }

    public InMemoryPeerNetworks peers() {
        return peers;
    }

    public void advance(Duration duration) {
        timer.advance(duration);
    }

    /** Starts an entry, or restarts a killed one, with no settings. */
    public void start(InstanceName name, boolean shouldWatch) {
        PeerNetwork network = peers.join(new PeerIdentity(name, new Incarnation(1), new Region("west")));
        PeerSettingsGossip gossip = new PeerSettingsGossip(
                network,
                new LossyBroadcast(),
                () -> others(name),
                timer,
                new SplittableRandom(name.value().hashCode()));
        replicas.put(name, new SettingsReplica(platform, gossip, timer, () -> shouldWatch));
    }

    /** Crashes the entry, which loses its settings. */
    public void kill(InstanceName name) {
        peers.kill(name);
        replicas.remove(name).close();
    }

    public long revision(InstanceName name) {
        return replicas.get(name).current().revision();
    }

    public SettingsDocument document(InstanceName name) {
        return replicas.get(name).current().tree().document();
    }

    public SettingsReplica replica(InstanceName name) {
        return replicas.get(name);
    }

    private ImmutableList<InstanceName> others(InstanceName name) {
        return replicas.keySet().stream()
                .filter(other -> !other.equals(name))
                .sorted()
                .collect(ImmutableList.toImmutableList());
    }

    /** Loses every broadcast, so that only anti-entropy propagates settings. */
    private static final class LossyBroadcast implements PeerBroadcast {
        @Override
        public void broadcast(PeerMessage _message) {}

        @Override
        public <M extends PeerMessage> Subscription subscribe(Class<M> _messageClass, PeerHandler<M> _handler) {
            return () -> {};
        }
    }
}
