package org.cowslippick.fleet.wire;

/** A message between entries. Each implementation is a record registered under one {@link MessageType}. */
public interface PeerMessage {}
