package org.cowslippick.fleet.peer;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cowslippick.core.time.ManualTimerService;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.fleet.wire.Envelope;
import org.cowslippick.fleet.wire.FrameCodec;
import org.cowslippick.fleet.wire.MessageTypes;
import org.cowslippick.fleet.wire.PeerMessage;

/** In-memory networks of several entries in one thread, with fault injection; messages pass through the real codec. */
public final class InMemoryPeerNetworks {

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final ManualTimerService timer;
    private final FrameCodec codec;
    private final Map<InstanceName, Network> networks = new HashMap<>();
    private final Set<Direction> partitioned = new HashSet<>();
    private final Set<Direction> silenced = new HashSet<>();
    private final Map<InstanceName, Integer> sentBytes = new HashMap<>();
    private Duration delay = Duration.ofMillis(1);

    public InMemoryPeerNetworks(ManualTimerService timer, MessageTypes types) {
        this.timer = timer;
        this.codec = new FrameCodec(types);
    }

    /** Adds an entry, replacing a killed one of the same name. */
    public PeerNetwork join(PeerIdentity identity) {
        Network network = new Network(identity);
        networks.put(identity.name(), network);
        return network;
    }

    /** Simulates the death of a process: it receives nothing more, and connections to it break. */
    public void kill(InstanceName name) {
        networks.remove(name);
        ImmutableList.copyOf(networks.values()).forEach(other -> other.disconnected(name));
    }

    /** Partitions two entries in both directions: connections break and new ones cannot be opened. */
    public void partition(InstanceName one, InstanceName other) {
        partitioned.add(new Direction(one, other));
        partitioned.add(new Direction(other, one));
        notify(one, other, Network::disconnected);
    }

    /** Ends a partition. */
    public void heal(InstanceName one, InstanceName other) {
        partitioned.remove(new Direction(one, other));
        partitioned.remove(new Direction(other, one));
        notify(one, other, Network::connected);
    }

    /** Drops messages on open connections from one entry to the other without breaking them; new connections work. */
    public void silence(InstanceName from, InstanceName to) {
        silenced.add(new Direction(from, to));
    }

    /** Simulates that the sender detects its silent connection and replaces it. */
    public void reconnect(InstanceName from, InstanceName to) {
        silenced.remove(new Direction(from, to));
        networks.get(from).disconnected(to);
        networks.get(from).connected(to);
    }

    /** Sets the delivery delay of messages sent from now on. */
    public void setDelay(Duration delay) {
        this.delay = delay;
    }

    /** The total bytes of frame bodies that the entry has sent. */
    public int sentBytes(InstanceName name) {
        return sentBytes.getOrDefault(name, 0);
    }

    private void notify(
            InstanceName one, InstanceName other, java.util.function.BiConsumer<Network, InstanceName> event) {
        event.accept(networks.get(one), other);
        event.accept(networks.get(other), one);
    }

    private record Direction(InstanceName from, InstanceName to) {}

    private final class Network implements PeerNetwork {
        private final PeerIdentity identity;
        private final HandlerRegistry handlers = new HandlerRegistry();
        private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();

        Network(PeerIdentity identity) {
            this.identity = identity;
        }

        @Override
        public SendResult send(InstanceName receiver, PeerMessage message) {
            if (networks.get(identity.name()) != this) {
                return SendResult.UNREACHABLE;
            }
            if (!networks.containsKey(receiver) || partitioned.contains(new Direction(identity.name(), receiver))) {
                return SendResult.UNREACHABLE;
            }
            byte[] frame = codec.encode(new Envelope(0, message));
            sentBytes.merge(identity.name(), frame.length, Integer::sum);
            if (!silenced.contains(new Direction(identity.name(), receiver))) {
                timer.schedule(delay, () -> deliver(receiver, frame));
            }
            return SendResult.QUEUED;
        }

        private void deliver(InstanceName receiver, byte[] frame) {
            Network target = networks.get(receiver);
            if (target != null && !partitioned.contains(new Direction(identity.name(), receiver))) {
                codec.decode(frame).ifPresent(envelope -> target.handlers.deliver(identity, envelope.message()));
            }
        }

        @Override
        public <M extends PeerMessage> Subscription subscribe(Class<M> messageClass, PeerHandler<M> handler) {
            return handlers.add(messageClass, handler);
        }

        @Override
        public Subscription addListener(PeerListener listener) {
            listeners.add(listener);
            return () -> listeners.remove(listener);
        }

        @Override
        public CompletableFuture<Boolean> probe(InstanceName peer) {
            CompletableFuture<Boolean> answer = new CompletableFuture<>();
            timer.schedule(delay, () -> {
                if (networks.containsKey(peer) && !partitioned.contains(new Direction(identity.name(), peer))) {
                    answer.complete(true);
                }
            });
            timer.schedule(PROBE_TIMEOUT, () -> answer.complete(false));
            return answer;
        }

        void connected(InstanceName peer) {
            listeners.forEach(listener -> listener.connected(peer));
        }

        void disconnected(InstanceName peer) {
            listeners.forEach(listener -> listener.disconnected(peer));
        }
    }
}
