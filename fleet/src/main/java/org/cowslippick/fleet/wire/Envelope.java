package org.cowslippick.fleet.wire;

/**
 * A message with the header it is sent with.
 *
 * @param logicalTime the sender's Lamport timestamp
 */
public record Envelope(long logicalTime, PeerMessage message) {}
