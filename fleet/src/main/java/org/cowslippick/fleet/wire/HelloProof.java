package org.cowslippick.fleet.wire;

/** The last message of the handshake: the dialler proves that it holds the shared key as well. */
public record HelloProof(String proof) implements PeerMessage {

    static final MessageType<HelloProof> TYPE = new MessageType<>(
            3,
            HelloProof.class,
            Priority.ESSENTIAL,
            (message, writer) -> writer.writeString(message.proof),
            reader -> new HelloProof(reader.readString()));
}
