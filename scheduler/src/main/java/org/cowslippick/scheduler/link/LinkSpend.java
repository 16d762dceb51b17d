package org.cowslippick.scheduler.link;

/**
 * What was carried over a link so far.
 *
 * @param price in the operator's currency
 */
public record LinkSpend(long bytes, double price) {

    public static final LinkSpend NOTHING = new LinkSpend(0, 0);
}
