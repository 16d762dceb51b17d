package org.cowslippick.scheduler.link;

/**
 * The accumulated use of a link.
 *
 * @param cost in the operator's currency
 */
public record LinkUsage(long bytes, double cost) {

    public static final LinkUsage NONE = new LinkUsage(0, 0);
}
