package org.cowslippick.fleet.wire;

/** Requests a {@link HeartbeatResponse} on the same connection. */
public record Heartbeat() implements PeerMessage {

    static final MessageType<Heartbeat> TYPE = new MessageType<>(
            4, Heartbeat.class, Priority.ESSENTIAL, (_message, _writer) -> {}, _reader -> new Heartbeat());
}
