package org.cowslippick.core.world;

/**
 * The network path from one region to another.
 *
 * @param bytesPerSecond what all traffic together may use in this direction
 * @param pricePerGigabyte in the operator's currency
 */
public record Link(Region from, Region to, long bytesPerSecond, double pricePerGigabyte) {

    public Link {
        if (from.equals(to)) {
            throw new IllegalArgumentException("a link joins two regions, but both ends are " + from);
        }
        if (bytesPerSecond <= 0) {
            throw new IllegalArgumentException("bytes per second of a link must be positive: " + bytesPerSecond);
        }
    }
}
