package org.cowslippick.scheduler.endpoint;

/**
 * Limits the concurrent requests of an endpoint by additive increase and multiplicative decrease (Chiu and Jain 1989)
 * on the time between tokens, which does not depend on the lengths of prompts and answers. The window starts at the
 * configured concurrency and grows beyond it only while first tokens arrive as predicted, since an engine with fewer
 * slots would queue the requests internally. After a decrease the new size is a ceiling for a limited time, so that the
 * window does not oscillate around the limit.
 */
final class AdmissionWindow {

    private static final double DECREASE_FACTOR = 0.85;
    private static final double GROWTH_HEADROOM = 0.7;
    private static final double GROWTH_FIRST_TOKEN_FACTOR = 1.2;
    private static final double QUEUEING_FIRST_TOKEN_FACTOR = 1.5;
    private static final double MAXIMUM_GROWTH_FACTOR = 2;
    private static final double RESTART_FACTOR = 0.25;
    private static final long MINIMUM_DECREASE_INTERVAL_NANOS = 500_000_000L;
    private static final long CEILING_LIFETIME_NANOS = 30_000_000_000L;

    private final int configured;
    private final long targetNanos;
    private double size;
    private double ceiling;
    private long ceilingUntilNanos = Long.MIN_VALUE;
    private long noDecreaseUntilNanos = Long.MIN_VALUE;

    AdmissionWindow(int configured, long targetNanos) {
        this.configured = configured;
        this.targetNanos = targetNanos;
        this.size = configured;
        this.ceiling = configured * MAXIMUM_GROWTH_FACTOR;
    }

    int size() {
        return Math.max(1, (int) size);
    }

    /**
     * Adjusts the window to the mean time between tokens of an answer that ended.
     *
     * @param firstTokenFactor the current ratio of observed to predicted times to first token
     * @param inFlight the number of requests that ran when the answer ended
     */
    void observe(double betweenTokensNanos, double firstTokenFactor, int inFlight, long nowNanos) {
        if (nowNanos >= ceilingUntilNanos) {
            ceiling = configured * MAXIMUM_GROWTH_FACTOR;
        }
        boolean queuesInternally = size > configured && firstTokenFactor > QUEUEING_FIRST_TOKEN_FACTOR;
        if (betweenTokensNanos > targetNanos || queuesInternally) {
            decrease(nowNanos);
        } else if (inFlight >= size()) {
            increase(betweenTokensNanos, firstTokenFactor);
        }
    }

    /** Restarts with a small window after the endpoint was slow or ejected. */
    void restart() {
        size = Math.max(1, configured * RESTART_FACTOR);
    }

    private void increase(double betweenTokensNanos, double firstTokenFactor) {
        if (size < configured) {
            size = Math.min(Math.min(configured, ceiling), size + 1);
        } else if (betweenTokensNanos < targetNanos * GROWTH_HEADROOM && firstTokenFactor < GROWTH_FIRST_TOKEN_FACTOR) {
            size = Math.min(ceiling, size + 1 / size);
        }
    }

    private void decrease(long nowNanos) {
        if (nowNanos < noDecreaseUntilNanos) {
            return;
        }
        size = Math.max(1, size * DECREASE_FACTOR);
        ceiling = size;
        ceilingUntilNanos = nowNanos + CEILING_LIFETIME_NANOS;
        noDecreaseUntilNanos = nowNanos + MINIMUM_DECREASE_INTERVAL_NANOS;
    }
}
