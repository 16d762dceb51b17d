package org.cowslippick.fleet.wire;

/** What happens to a message when the connection to its receiver is congested. */
public enum Priority {
    /** Sent up to the hard limit of the outbound queue; over it the sender is told that it was not sent. */
    ESSENTIAL,
    /** Dropped as soon as the connection is congested; a later message makes up for it. */
    DROPPABLE
}
