package org.cowslippick.fleet.wire;

/** Shows that the connection carries bytes in both directions. */
public record HeartbeatAnswer() implements PeerMessage {

    static final MessageType<HeartbeatAnswer> TYPE = new MessageType<>(
            5, HeartbeatAnswer.class, Priority.ESSENTIAL, (_message, _writer) -> {}, _reader -> new HeartbeatAnswer());
}
