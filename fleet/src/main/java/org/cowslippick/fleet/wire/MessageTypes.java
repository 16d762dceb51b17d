package org.cowslippick.fleet.wire;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.Optional;

/** The message types that this process knows, by number and by class. */
public final class MessageTypes {

    private final ImmutableMap<Integer, MessageType<?>> byNumber;
    private final ImmutableMap<Class<?>, MessageType<?>> byClass;

    /** Creates the registry; a number or class that occurs twice is an error. */
    public MessageTypes(ImmutableCollection<MessageType<?>> types) {
        this.byNumber = Maps.uniqueIndex(types, MessageType::number);
        this.byClass = Maps.uniqueIndex(types, MessageType::messageClass);
    }

    Optional<MessageType<?>> find(int number) {
        return Optional.ofNullable(byNumber.get(number));
    }

    /** Returns the type of a message; messages of unregistered classes are a programming error. */
    public MessageType<?> typeOf(PeerMessage message) {
        MessageType<?> type = byClass.get(message.getClass());
        if (type == null) {
            throw new IllegalArgumentException(
                    "no message type is registered for " + message.getClass().getName());
        }
        return type;
    }
}
