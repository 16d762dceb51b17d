package org.cowslippick.fleet.wire;

/** Confirms that the connection carries data in both directions. */
public record HeartbeatResponse() implements PeerMessage {

    static final MessageType<HeartbeatResponse> TYPE = new MessageType<>(
            5,
            HeartbeatResponse.class,
            Priority.ESSENTIAL,
            (_message, _writer) -> {},
            _reader -> new HeartbeatResponse());
}
