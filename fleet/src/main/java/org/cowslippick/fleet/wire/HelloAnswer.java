package org.cowslippick.fleet.wire;

/**
 * The answer to a {@link Hello}; it proves that the sender holds a shared key.
 *
 * @param version the protocol version of this connection
 * @param nonce random text that the other end has to authenticate
 * @param key name of the cluster key that both ends use
 * @param proof authentication code of the whole exchange so far
 */
public record HelloAnswer(int version, Hello.Sender sender, String nonce, String key, String proof)
        implements PeerMessage {

    static final MessageType<HelloAnswer> TYPE =
            new MessageType<>(2, HelloAnswer.class, Priority.ESSENTIAL, HelloAnswer::encode, HelloAnswer::decode);

    private static void encode(HelloAnswer answer, MessageWriter writer) {
        writer.writeLong(answer.version);
        Hello.Sender.encode(answer.sender, writer);
        writer.writeString(answer.nonce);
        writer.writeString(answer.key);
        writer.writeString(answer.proof);
    }

    private static HelloAnswer decode(MessageReader reader) {
        return new HelloAnswer(
                reader.readInt(), Hello.Sender.decode(reader), reader.readString(), reader.readString(), reader.readString());
    }
}
