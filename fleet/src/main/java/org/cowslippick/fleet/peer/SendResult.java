package org.cowslippick.fleet.peer;

/** What became of a message at the sender; none of these says that it arrived. */
public enum SendResult {
    /** Handed to the connection, or queued until the connection is open. */
    QUEUED,
    /** Not sent: too much is waiting for this peer already. */
    CONGESTED,
    /** Not sent: the address of the peer is unknown, or connecting failed a moment ago. */
    UNREACHABLE
}
