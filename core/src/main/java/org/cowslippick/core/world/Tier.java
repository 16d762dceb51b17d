package org.cowslippick.core.world;

/**
 * A priority class of requests.
 *
 * @param rank 0 is the highest priority; lower ranks are served first and shed last
 * @param weight the weight of one on-time answer in weighted goodput
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
