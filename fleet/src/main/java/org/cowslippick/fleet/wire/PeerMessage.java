package org.cowslippick.fleet.wire;

/** A message between entries. Each implementation is a record with one {@link MessageType}. */
public interface PeerMessage {}
