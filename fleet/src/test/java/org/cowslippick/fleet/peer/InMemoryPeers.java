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

/** Networks of several entries in one thread, with fault switches; messages pass through the real codec. */
public final class InMemoryPeers {

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final ManualTimerService timer;
    private final FrameCodec codec;
    private final Map<InstanceName, Network> networks = new HashMap<>();
    private final Set<Direction> cut = new HashSet<>();
    private final Set<Direction> silent = new HashSet<>();
    private final Map<InstanceName, Integer> sentBytes = new HashMap<>();
    private Duration delay = Duration.ofMillis(1);

    public InMemoryPeers(ManualTimerService timer, MessageTypes types) {
        this.timer = timer;
        this.codec = new FrameCodec(types);
    }

    /** Adds an entry, or replaces one of the same name that died. */
    public PeerNetwork join(PeerIdentity identity) {
        Network network = new Network(identity);
        networks.put(identity.name(), network);
        return network;
    }

    /** The process dies: it receives nothing any more, and whoever sends to it sees the connection break. */
    public void kill(InstanceName name) {
        networks.remove(name);
        ImmutableList.copyOf(networks.values()).forEach(other -> other.disconnected(name));
    }

    /** Cuts both directions between two entries: connections break and no new one can be opened. */
    public void partition(InstanceName one, InstanceName other) {
        cut.add(new Direction(one, other));
        cut.add(new Direction(other, one));
        notify(one, other, Network::disconnected);
    }

    /** Ends a partition. */
    public void heal(InstanceName one, InstanceName other) {
        cut.remove(new Direction(one, other));
        cut.remove(new Direction(other, one));
        notify(one, other, Network::connected);
    }

    /** Open connections from one entry to the other swallow messages without breaking; new connections work. */
    public void silence(InstanceName from, InstanceName to) {
        silent.add(new Direction(from, to));
    }

    /** The sender finds its silent connection and replaces it. */
    public void reconnect(InstanceName from, InstanceName to) {
        silent.remove(new Direction(from, to));
        networks.get(from).disconnected(to);
        networks.get(from).connected(to);
    }

    /** How long every message takes from now on. */
    public void delay(Duration changed) {
        this.delay = changed;
    }

    /** Bytes of frame bodies that the entry sent so far. */
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
        private final Subscribers subscribers = new Subscribers();
        private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();

        Network(PeerIdentity identity) {
            this.identity = identity;
        }

        @Override
        public SendResult send(InstanceName receiver, PeerMessage message) {
            if (networks.get(identity.name()) != this) {
                return SendResult.UNREACHABLE;
            }
            if (!networks.containsKey(receiver) || cut.contains(new Direction(identity.name(), receiver))) {
                return SendResult.UNREACHABLE;
            }
            byte[] frame = codec.encode(new Envelope(0, message));
            sentBytes.merge(identity.name(), frame.length, Integer::sum);
            if (!silent.contains(new Direction(identity.name(), receiver))) {
                timer.after(delay, () -> arrive(receiver, frame));
            }
            return SendResult.QUEUED;
        }

        private void arrive(InstanceName receiver, byte[] frame) {
            Network target = networks.get(receiver);
            if (target != null && !cut.contains(new Direction(identity.name(), receiver))) {
                codec.decode(frame).ifPresent(envelope -> target.subscribers.deliver(identity, envelope.message()));
            }
        }

        @Override
        public <M extends PeerMessage> Subscription subscribe(Class<M> messageClass, PeerHandler<M> handler) {
            return subscribers.add(messageClass, handler);
        }

        @Override
        public Subscription listen(PeerListener listener) {
            listeners.add(listener);
            return () -> listeners.remove(listener);
        }

        @Override
        public CompletableFuture<Boolean> probe(InstanceName peer) {
            CompletableFuture<Boolean> answer = new CompletableFuture<>();
            timer.after(delay, () -> {
                if (networks.containsKey(peer) && !cut.contains(new Direction(identity.name(), peer))) {
                    answer.complete(true);
                }
            });
            timer.after(PROBE_TIMEOUT, () -> answer.complete(false));
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
