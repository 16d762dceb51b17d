package org.cowslippick.fleet.order;

/** An endpoint's answer to an order. */
public enum OrderAnswer {
    ACCEPTED,
    /** The endpoint has accepted an order with a higher fencing number. */
    REFUSED_AS_STALE,
    /** No answer came; the order may have been executed, or may be executed later or never. */
    NO_ANSWER
}
