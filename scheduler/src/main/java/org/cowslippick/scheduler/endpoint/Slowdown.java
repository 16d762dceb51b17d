package org.cowslippick.scheduler.endpoint;

/**
 * The current slowdown of an endpoint: a moving average of the ratios of observed to predicted times. A normal sample
 * after a slow period has a larger weight, so that a few probes suffice to recover.
 */
final class Slowdown {

    static final double MAXIMUM_RATIO = 20;

    private static final double MINIMUM_RATIO = 0.3;
    private static final double GAIN = 0.35;
    private static final double RECOVERED_RATIO = 2;
    private static final double RECOVERY_DECAY = 0.3;

    private double factor = 1;

    void observe(double ratio) {
        double bounded = Math.min(MAXIMUM_RATIO, Math.max(MINIMUM_RATIO, ratio));
        boolean recovering = bounded < RECOVERED_RATIO && factor > RECOVERED_RATIO;
        factor = recovering ? Math.max(bounded, factor * RECOVERY_DECAY) : factor + GAIN * (bounded - factor);
    }

    double factor() {
        return factor;
    }
}
