package org.cowslippick.scheduler.endpoint;

/**
 * The health state of an endpoint. A healthy endpoint gets requests; a suspected one gets single probes with
 * exponential backoff. An endpoint becomes suspected when it is far slower than the pool or after several consecutive
 * faults.
 */
final class EndpointHealth {

    private static final int CONSECUTIVE_FAULTS_TO_EJECT = 3;
    private static final double SLOW_FACTOR = 3;
    private static final double RECOVERED_FACTOR = 1.8;
    private static final long INITIAL_PROBE_INTERVAL_NANOS = 1_000_000_000L;
    private static final long MAXIMUM_PROBE_INTERVAL_NANOS = 8_000_000_000L;

    private final Slowdown firstToken = new Slowdown();
    private final Slowdown betweenTokens = new Slowdown();
    private int consecutiveFaults;
    private boolean slow;
    private boolean ejected;
    private long probeIntervalNanos = INITIAL_PROBE_INTERVAL_NANOS;
    private long probeAtNanos;

    Slowdown firstToken() {
        return firstToken;
    }

    Slowdown betweenTokens() {
        return betweenTokens;
    }

    double slowdown() {
        return Math.max(firstToken.factor(), betweenTokens.factor());
    }

    boolean isSlow() {
        return slow;
    }

    boolean isEjected() {
        return ejected;
    }

    boolean isSuspected() {
        return slow || ejected;
    }

    long probeAtNanos() {
        return probeAtNanos;
    }

    boolean isProbeDue(long nowNanos) {
        return nowNanos >= probeAtNanos;
    }

    /** Whether a probe is so overdue that a request that cannot be hedged is used as well. */
    boolean isProbeOverdue(long nowNanos) {
        return nowNanos >= probeAtNanos + 2 * probeIntervalNanos;
    }

    void recordProbe(long nowNanos) {
        probeIntervalNanos = Math.min(MAXIMUM_PROBE_INTERVAL_NANOS, 2 * probeIntervalNanos);
        probeAtNanos = nowNanos + probeIntervalNanos;
    }

    void recordFault() {
        consecutiveFaults++;
    }

    void recordSuccess() {
        consecutiveFaults = 0;
    }

    /** Updates the state; {@code maySuspect} tells whether the pool allows another suspected endpoint. */
    void update(double poolSlowdown, boolean maySuspect, long nowNanos) {
        boolean isSlowNow = slowdown() > SLOW_FACTOR * Math.max(1, poolSlowdown);
        boolean isFailing = consecutiveFaults >= CONSECUTIVE_FAULTS_TO_EJECT;
        if (!isSuspected() && (isSlowNow || isFailing)) {
            suspect(isSlowNow, isFailing, maySuspect, nowNanos);
        } else if (isSuspected()
                && consecutiveFaults == 0
                && slowdown() < RECOVERED_FACTOR * Math.max(1, poolSlowdown)) {
            slow = false;
            ejected = false;
            probeIntervalNanos = INITIAL_PROBE_INTERVAL_NANOS;
        } else if (slow && isFailing) {
            ejected = true;
        }
    }

    private void suspect(boolean isSlowNow, boolean isFailing, boolean maySuspect, long nowNanos) {
        if (maySuspect) {
            slow = isSlowNow;
            ejected = isFailing;
            probeAtNanos = nowNanos + probeIntervalNanos;
        }
    }
}
