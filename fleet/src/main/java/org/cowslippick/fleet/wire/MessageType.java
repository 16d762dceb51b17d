package org.cowslippick.fleet.wire;

/**
 * Number, priority and codec of one kind of message. Numbers are part of the protocol and never reused: 1 to 15 belong
 * to connections and membership, 16 to 31 to grants, 32 to 63 to claims, settings and limits. A receiver skips messages
 * of unknown types numbered {@link #FIRST_SKIPPABLE_NUMBER} or higher, and closes the connection on unknown types below
 * it.
 */
public record MessageType<M extends PeerMessage>(
        int number, Class<M> messageClass, Priority priority, Encoder<M> encoder, Decoder<M> decoder) {

    public static final int FIRST_SKIPPABLE_NUMBER = 128;

    public MessageType {
        if (number <= 0) {
            throw new IllegalArgumentException(
                    "number of message type " + messageClass.getSimpleName() + " must be positive, got " + number);
        }
    }

    /** By the number, which identifies a type; the generated method would hash codecs, and is slow at its first use. */
    @Override
    public boolean equals(Object other) {
        return other instanceof MessageType<?> type && type.number == number;
    }

    @Override
    public int hashCode() {
        return number;
    }

    /** Whether a receiver that does not know the number skips the message. */
    public static boolean isSkippable(int number) {
        return number >= FIRST_SKIPPABLE_NUMBER;
    }

    void encode(PeerMessage message, MessageWriter writer) {
        encoder.encode(messageClass.cast(message), writer);
    }

    /** Writes the fields of a message. */
    @FunctionalInterface
    public interface Encoder<M> {
        void encode(M message, MessageWriter writer);
    }

    /** Reads the fields of a message in the order in which they were written. */
    @FunctionalInterface
    public interface Decoder<M> {
        M decode(MessageReader reader);
    }
}
