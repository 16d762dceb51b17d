package org.cowslippick.relay.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.core.world.Incarnation;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.Region;
import org.cowslippick.fleet.peer.PeerHandler;
import org.cowslippick.fleet.peer.PeerIdentity;
import org.cowslippick.fleet.peer.PeerListener;
import org.cowslippick.fleet.peer.PeerNetwork;
import org.cowslippick.fleet.peer.SendResult;
import org.cowslippick.fleet.wire.PeerMessage;

/** Delivers messages between instances of a test synchronously, in order of sending, and records them. */
final class InMemoryNetwork {

    private final Map<InstanceName, Node> nodes = new HashMap<>();
    private final Set<InstanceName> isolated = new HashSet<>();
    private final Map<Path, Executor> delays = new HashMap<>();
    private final List<PeerMessage> sent = new ArrayList<>();

    PeerNetwork join(InstanceName name) {
        return nodes.computeIfAbsent(name, Node::new);
    }

    /** Opens a connection from one instance to another. */
    void connect(InstanceName from, InstanceName to) {
        nodes.get(from).listeners.forEach(listener -> listener.connected(to));
    }

    /** From now on, drops all messages to and from the instance. */
    void isolate(InstanceName name) {
        isolated.add(name);
    }

    /** Ends the isolation of the instance. */
    void reconnect(InstanceName name) {
        isolated.remove(name);
    }

    /** From now on, delivers messages of the type from one instance to another when the executor runs them. */
    void delay(InstanceName from, InstanceName to, Class<? extends PeerMessage> type, Executor executor) {
        delays.put(new Path(from, to, type), executor);
    }

    long count(Class<? extends PeerMessage> type) {
        return sent.stream().filter(type::isInstance).count();
    }

    private record Path(InstanceName from, InstanceName to, Class<? extends PeerMessage> type) {}

    private final class Node implements PeerNetwork {
        private final PeerIdentity identity;
        private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new HashMap<>();
        private final List<PeerListener> listeners = new ArrayList<>();

        Node(InstanceName name) {
            this.identity = new PeerIdentity(name, new Incarnation(1), new Region("asturias"));
        }

        @Override
        public SendResult send(InstanceName receiver, PeerMessage message) {
            sent.add(message);
            if (!nodes.containsKey(receiver) || isolated.contains(receiver) || isolated.contains(identity.name())) {
                return SendResult.UNREACHABLE;
            }
            PeerHandler<PeerMessage> handler = nodes.get(receiver).handlers.get(message.getClass());
            if (handler != null) {
                delays.getOrDefault(new Path(identity.name(), receiver, message.getClass()), Runnable::run)
                        .execute(() -> handler.handle(identity, message));
            }
            return SendResult.QUEUED;
        }

        @Override
        @SuppressWarnings("unchecked")
        public <M extends PeerMessage> Subscription subscribe(Class<M> messageClass, PeerHandler<M> handler) {
            handlers.put(messageClass, (PeerHandler<PeerMessage>) handler);
            return () -> handlers.remove(messageClass);
        }

        @Override
        public Subscription addListener(PeerListener listener) {
            listeners.add(listener);
            return () -> listeners.remove(listener);
        }

        @Override
        public CompletableFuture<Boolean> probe(InstanceName peer) {
            return CompletableFuture.completedFuture(nodes.containsKey(peer) && !isolated.contains(peer));
        }
    }
}
