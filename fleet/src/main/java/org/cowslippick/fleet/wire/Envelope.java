package org.cowslippick.fleet.wire;

/**
 * A message as it travels.
 *
 * @param logicalTime the sender's Lamport time
 */
public record Envelope(long logicalTime, PeerMessage message) {}
