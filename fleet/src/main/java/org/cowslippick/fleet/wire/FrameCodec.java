package org.cowslippick.fleet.wire;

import java.util.Optional;

/** Encodes and decodes frame bodies: type number, logical time, then the message's fields. */
public final class FrameCodec {

    /** The largest frame body that is sent or accepted. */
    public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

    private final MessageTypes types;

    public FrameCodec(MessageTypes types) {
        this.types = types;
    }

    /**
     * Returns the frame body of a message.
     *
     * @throws IllegalArgumentException if it exceeds {@link #MAXIMUM_FRAME_BYTES}
     */
    public byte[] encode(Envelope envelope) {
        MessageType<?> type = types.typeOf(envelope.message());
        try (MessageWriter writer = new MessageWriter()) {
            writer.writeLong(type.number());
            writer.writeLong(envelope.logicalTime());
            type.encode(envelope.message(), writer);
            return requireWithinLimit(writer.toBytes(), type);
        }
    }

    /**
     * Returns the message of a frame body, or empty if its type is unknown and skippable.
     *
     * @throws MalformedFrameException if the body violates the protocol
     */
    public Optional<Envelope> decode(byte[] body) {
        try (MessageReader reader = new MessageReader(body)) {
            int number = reader.readInt();
            long logicalTime = reader.readLong();
            Optional<MessageType<?>> type = types.find(number);
            if (type.isEmpty() && MessageType.isSkippable(number)) {
                return Optional.empty();
            }
            PeerMessage message = type.orElseThrow(() -> new MalformedFrameException("unknown message type " + number))
                    .decoder()
                    .decode(reader);
            reader.requireEnd();
            return Optional.of(new Envelope(logicalTime, message));
        } catch (IllegalArgumentException invalid) {
            throw new MalformedFrameException("message field has an invalid value", invalid);
        }
    }

    private static byte[] requireWithinLimit(byte[] body, MessageType<?> type) {
        if (body.length > MAXIMUM_FRAME_BYTES) {
            throw new IllegalArgumentException("message of type " + type.number() + " has " + body.length
                    + " bytes, exceeding the limit of " + MAXIMUM_FRAME_BYTES);
        }
        return body;
    }
}
