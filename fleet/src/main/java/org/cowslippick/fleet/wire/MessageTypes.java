package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Optional;

/** Registry of the message types that this process knows, by number and by class. */
public final class MessageTypes {

    private final ImmutableMap<Integer, MessageType<?>> byNumber;
    private final ImmutableMap<Class<?>, MessageType<?>> byClass;

    /** Creates the registry; throws if a number or class occurs twice. */
    public MessageTypes(ImmutableCollection<MessageType<?>> types) {
        this.byNumber = Maps.uniqueIndex(types, MessageType::number);
        this.byClass = Maps.uniqueIndex(types, MessageType::messageClass);
    }

    Optional<MessageType<?>> find(int number) {
        return Optional.ofNullable(byNumber.get(number));
    }

    /** Returns the type of a message; throws if its class is not registered. */
    public MessageType<?> typeOf(PeerMessage message) {
        MessageType<?> type = byClass.get(message.getClass());
        if (type == null) {
            throw new IllegalArgumentException(
                    "no message type registered for " + message.getClass().getName());
        }
        return type;
    }
}
