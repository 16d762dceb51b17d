package org.cowslippick.fleet.peer;

import com.google.common.collect.ImmutableListMultimap;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.fleet.wire.PeerMessage;

/** Handlers by message class, replaced as a whole on change so that delivery takes no lock. */
public final class Subscribers {

    private final AtomicReference<ImmutableListMultimap<Class<?>, Entry<?>>> entries =
            new AtomicReference<>(ImmutableListMultimap.of());

    /** Adds a handler until the subscription is cancelled. */
    public <M extends PeerMessage> Subscription add(Class<M> messageClass, PeerHandler<M> handler) {
        Entry<M> added = new Entry<>(messageClass, handler);
        entries.updateAndGet(current -> ImmutableListMultimap.<Class<?>, Entry<?>>builder()
                .putAll(current)
                .put(messageClass, added)
                .build());
        return () -> remove(added);
    }

    /** Calls every handler of the message's class. */
    public void deliver(PeerIdentity sender, PeerMessage message) {
        entries.get().get(message.getClass()).forEach(entry -> entry.deliver(sender, message));
    }

    private void remove(Entry<?> removed) {
        entries.updateAndGet(current -> current.entries().stream()
                .filter(entry -> entry.getValue() != removed)
                .collect(ImmutableListMultimap.toImmutableListMultimap(
                        java.util.Map.Entry::getKey, java.util.Map.Entry::getValue)));
    }

    private static final class Entry<M extends PeerMessage> {
        private final Class<M> messageClass;
        private final PeerHandler<M> handler;

        Entry(Class<M> messageClass, PeerHandler<M> handler) {
            this.messageClass = messageClass;
            this.handler = handler;
        }

        void deliver(PeerIdentity sender, PeerMessage message) {
            handler.received(sender, messageClass.cast(message));
        }
    }
}
