package org.cowslippick.fleet.peer;

/** The outcome of a send at the sender; no value confirms delivery. */
public enum SendResult {
    /** Handed to the connection, or queued until the connection is open. */
    QUEUED,
    /** Not sent: too much unsent data is pending for this peer. */
    CONGESTED,
    /** Not sent: the peer's address is unknown or connecting failed, and the backoff has not passed yet. */
    UNREACHABLE
}
