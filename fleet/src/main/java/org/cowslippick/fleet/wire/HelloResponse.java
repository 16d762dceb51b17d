package org.cowslippick.fleet.wire;

/**
 * The acceptor's response to a {@link Hello}; it proves that the acceptor holds a shared key.
 *
 * @param version the protocol version negotiated for this connection
 * @param nonce random text that the dialler's proof must cover
 * @param key name of the cluster key that both ends use
 * @param proof message authentication code over the hello and this response
 */
public record HelloResponse(int version, Hello.Sender sender, String nonce, String key, String proof)
        implements PeerMessage {

    static final MessageType<HelloResponse> TYPE =
            new MessageType<>(2, HelloResponse.class, Priority.ESSENTIAL, HelloResponse::encode, HelloResponse::decode);

    private static void encode(HelloResponse response, MessageWriter writer) {
        writer.writeLong(response.version);
        Hello.Sender.encode(response.sender, writer);
        writer.writeString(response.nonce);
        writer.writeString(response.key);
        writer.writeString(response.proof);
    }

    private static HelloResponse decode(MessageReader reader) {
        return new HelloResponse(
                reader.readInt(),
                Hello.Sender.decode(reader),
                reader.readString(),
                reader.readString(),
                reader.readString());
    }
}
