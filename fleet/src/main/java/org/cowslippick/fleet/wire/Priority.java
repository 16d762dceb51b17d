package org.cowslippick.fleet.wire;

/** How a message is treated when the connection to its receiver is congested. */
public enum Priority {
    /** Sent up to the hard limit of unsent bytes; beyond it, the send result reports congestion. */
    ESSENTIAL,
    /** Dropped as soon as the channel is not writable; a later message makes up for the loss. */
    DROPPABLE
}
