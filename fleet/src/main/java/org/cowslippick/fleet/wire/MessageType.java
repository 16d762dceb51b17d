package org.cowslippick.fleet.wire;

/**
 * How one kind of message is encoded. Numbers are part of the protocol and never reused: 1 to 15 belong to membership,
 * 16 to 31 to grants, 32 to 63 to claims and settings. A receiver that does not know a number from
 * {@link #FIRST_SKIPPABLE_NUMBER} on skips the message; one below it closes the connection.
 */
public record MessageType<M extends PeerMessage>(
        int number, Class<M> messageClass, Priority priority, Encoder<M> encoder, Decoder<M> decoder) {

    public static final int FIRST_SKIPPABLE_NUMBER = 128;

    public MessageType {
        if (number <= 0) {
            throw new IllegalArgumentException(
                    "number of message type " + messageClass.getSimpleName() + " must be positive, but is " + number);
        }
    }

    /** Whether a receiver that does not know the number may ignore the message. */
    public static boolean skippable(int number) {
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
