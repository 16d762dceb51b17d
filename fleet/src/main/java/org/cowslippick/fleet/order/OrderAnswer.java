package org.cowslippick.fleet.order;

/** What an endpoint answered to an order. */
public enum OrderAnswer {
    ACCEPTED,
    /** It saw a higher fencing number before. */
    REFUSED_AS_STALE,
    /** The order may be carried out now, later or never. */
    NO_ANSWER
}
