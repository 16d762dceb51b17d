package org.cowslippick.fleet.order;

/** How an order ended. */
public enum OrderResult {
    /** The endpoint shows the order's effect, and that is recorded. */
    CONFIRMED,
    /** Another entry's order came in between. */
    SUPERSEDED,
    /** The order was sent, but its effect was not seen in time. */
    UNCONFIRMED,
    /** The order could not be recorded, so it was not sent. */
    NOT_SENT
}
