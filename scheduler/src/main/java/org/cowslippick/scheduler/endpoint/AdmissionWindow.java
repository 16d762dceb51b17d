package org.cowslippick.scheduler.endpoint;

/**
 * How many requests an endpoint may run at once: additive increase and multiplicative decrease on the time between
 * tokens, which does not depend on the lengths of prompts and answers (Chiu and Jain 1989). It starts at the configured
 * concurrency and grows beyond it only while first tokens come as predicted, since an engine with fewer slots would queue
 * requests inside. A decrease is remembered as a ceiling for a time, so that the window does not swing around the limit.
 */
final class AdmissionWindow {

    private static final double DECREASE = 0.85;
    private static final double GROWTH_HEADROOM = 0.7;
    private static final double GROWTH_FACTOR = 1.2;
    private static final double QUEUEING_FACTOR = 1.5;
    private static final double MAXIMUM_GROWTH = 2;
    private static final double SLOW_START_FACTOR = 0.25;
    private static final long DECREASE_PAUSE_NANOS = 500_000_000L;
    private static final long CEILING_NANOS = 30_000_000_000L;

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
        this.ceiling = configured * MAXIMUM_GROWTH;
    }

    int size() {
        return Math.max(1, (int) size);
    }

    /**
     * Learns from the mean time between tokens of an answer that ended while so many requests ran.
     *
     * @param firstTokenFactor how much slower than predicted first tokens are at present
     */
    void observe(double betweenTokensNanos, double firstTokenFactor, int inFlight, long nowNanos) {
        if (nowNanos >= ceilingUntilNanos) {
            ceiling = configured * MAXIMUM_GROWTH;
        }
        boolean queuesInside = size > configured && firstTokenFactor > QUEUEING_FACTOR;
        if (betweenTokensNanos > targetNanos || queuesInside) {
            decrease(nowNanos);
        } else if (inFlight >= size()) {
            increase(betweenTokensNanos, firstTokenFactor);
        }
    }

    /** Starts small again after the endpoint was slow or ejected. */
    void restart() {
        size = Math.max(1, configured * SLOW_START_FACTOR);
    }

    private void increase(double betweenTokensNanos, double firstTokenFactor) {
        if (size < configured) {
            size = Math.min(Math.min(configured, ceiling), size + 1);
        } else if (betweenTokensNanos < targetNanos * GROWTH_HEADROOM && firstTokenFactor < GROWTH_FACTOR) {
            size = Math.min(ceiling, size + 1 / size);
        }
    }

    private void decrease(long nowNanos) {
        if (nowNanos < noDecreaseUntilNanos) {
            return;
        }
        size = Math.max(1, size * DECREASE);
        ceiling = size;
        ceilingUntilNanos = nowNanos + CEILING_NANOS;
        noDecreaseUntilNanos = nowNanos + DECREASE_PAUSE_NANOS;
    }
}
