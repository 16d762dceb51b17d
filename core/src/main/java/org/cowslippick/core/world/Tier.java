package org.cowslippick.core.world;

/**
 * A class of service that callers pay for.
 *
 * @param rank 0 is the highest tier; a lower rank number is served first and shed last
 * @param weight the worth of one on-time answer, for weighted goodput
 */
public record Tier(TierName name, int rank, double weight) {

    public Tier {
        if (rank < 0) {
            throw new IllegalArgumentException("rank of tier " + name + " must not be negative: " + rank);
        }
        if (!(weight > 0)) {
            throw new IllegalArgumentException("weight of tier " + name + " must be positive: " + weight);
        }
    }
}
