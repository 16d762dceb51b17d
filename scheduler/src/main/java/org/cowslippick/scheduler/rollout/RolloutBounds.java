package org.cowslippick.scheduler.rollout;

/**
 * The exposure that a version may have before it is known to be good.
 *
 * @param exposureShare of all requests of the service between the order and its time limit
 * @param exposureSlack requests beyond that share
 */
public record RolloutBounds(double exposureShare, double exposureSlack) {

    public RolloutBounds {
        if (!(exposureShare > 0 && exposureShare <= 1)) {
            throw new IllegalArgumentException("exposureShare must be above 0 and at most 1: " + exposureShare);
        }
        if (!(exposureSlack >= 0 && Double.isFinite(exposureSlack))) {
            throw new IllegalArgumentException("exposureSlack must not be negative: " + exposureSlack);
        }
    }

    /** The requests that the target may get among the given number of requests of the service. */
    public double allowed(double requests) {
        return exposureShare * requests + exposureSlack;
    }
}
