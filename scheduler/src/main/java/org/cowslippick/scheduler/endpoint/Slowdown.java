package org.cowslippick.scheduler.endpoint;

/**
 * How much slower than predicted an endpoint is at present: a mean of the ratios of observed to predicted times that
 * follows the last few. A good answer after a slow time counts for more, so that a few probes are enough to recover.
 */
final class Slowdown {

    static final double MAXIMUM_RATIO = 20;

    private static final double MINIMUM_RATIO = 0.3;
    private static final double GAIN = 0.35;
    private static final double RECOVERED_RATIO = 2;
    private static final double RECOVERY_FACTOR = 0.3;

    private double factor = 1;

    void observe(double ratio) {
        double bounded = Math.min(MAXIMUM_RATIO, Math.max(MINIMUM_RATIO, ratio));
        boolean recovering = bounded < RECOVERED_RATIO && factor > RECOVERED_RATIO;
        factor = recovering ? Math.max(bounded, factor * RECOVERY_FACTOR) : factor + GAIN * (bounded - factor);
    }

    double factor() {
        return factor;
    }
}
