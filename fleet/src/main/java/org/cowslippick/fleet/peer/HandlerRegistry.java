package org.cowslippick.fleet.peer;

import com.google.common.collect.ImmutableListMultimap;
import java.util.concurrent.atomic.AtomicReference;
import org.cowslippick.core.time.TimerService.Subscription;
import org.cowslippick.fleet.wire.PeerMessage;

/** Handlers by message class; copy-on-write, so that delivery takes no lock. */
public final class HandlerRegistry {

    private final AtomicReference<ImmutableListMultimap<Class<?>, Registration<?>>> registrations =
            new AtomicReference<>(ImmutableListMultimap.of());

    /** Registers a handler until the subscription is cancelled. */
    public <M extends PeerMessage> Subscription add(Class<M> messageClass, PeerHandler<M> handler) {
        Registration<M> added = new Registration<>(messageClass, handler);
        registrations.updateAndGet(current -> ImmutableListMultimap.<Class<?>, Registration<?>>builder()
                .putAll(current)
                .put(messageClass, added)
                .build());
        return () -> remove(added);
    }

    /** Calls every handler registered for the message's class. */
    public void deliver(PeerIdentity sender, PeerMessage message) {
        registrations.get().get(message.getClass()).forEach(registration -> registration.deliver(sender, message));
    }

    private void remove(Registration<?> removed) {
        registrations.updateAndGet(current -> current.entries().stream()
                .filter(entry -> entry.getValue() != removed)
                .collect(ImmutableListMultimap.toImmutableListMultimap(
                        java.util.Map.Entry::getKey, java.util.Map.Entry::getValue)));
    }

    private static final class Registration<M extends PeerMessage> {
        private final Class<M> messageClass;
        private final PeerHandler<M> handler;

        Registration(Class<M> messageClass, PeerHandler<M> handler) {
            this.messageClass = messageClass;
            this.handler = handler;
        }

        void deliver(PeerIdentity sender, PeerMessage message) {
            handler.handle(sender, messageClass.cast(message));
        }
    }
}
