package org.cowslippick.core.world;

/**
 * The network link from one region to another, in this direction only.
 *
 * @param bytesPerSecond the total bandwidth available to all traffic
 * @param pricePerGigabyte the transfer price in the operator's currency
 */
public record Link(Region from, Region to, long bytesPerSecond, double pricePerGigabyte) {

    public Link {
        if (from.equals(to)) {
            throw new IllegalArgumentException("a link must connect two different regions, but both are " + from);
        }
        if (bytesPerSecond <= 0) {
            throw new IllegalArgumentException("bytes per second of a link must be positive: " + bytesPerSecond);
        }
    }
}
