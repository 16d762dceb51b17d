package org.cowslippick.fleet.order;

/** The result of an order. */
public enum OrderResult {
    /** The endpoint's state reflects the order, and the confirmation is recorded. */
    CONFIRMED,
    /** Another entry's order replaced this one. */
    SUPERSEDED,
    /** The order was sent, but its effect was not observed or not recorded in time. */
    UNCONFIRMED,
    /** The order was not sent, as it could not be recorded or its lease had expired. */
    NOT_SENT
}
