package org.cowslippick.scheduler.endpoint;

/**
 * Whether an endpoint gets requests: a healthy one does, one under suspicion gets single probes at growing intervals.
 * An endpoint comes under suspicion when it is far slower than the others or fails several times running.
 */
final class EndpointHealth {

    private static final int FAULTS_TO_EJECT = 3;
    private static final double SLOW_FACTOR = 3;
    private static final double RECOVERED_FACTOR = 1.8;
    private static final long FIRST_PROBE_NANOS = 1_000_000_000L;
    private static final long LONGEST_PROBE_NANOS = 8_000_000_000L;

    private final Slowdown firstToken = new Slowdown();
    private final Slowdown betweenTokens = new Slowdown();
    private int faultsRunning;
    private boolean slow;
    private boolean ejected;
    private long probeIntervalNanos = FIRST_PROBE_NANOS;
    private long probeAtNanos;

    Slowdown firstToken() {
        return firstToken;
    }

    Slowdown betweenTokens() {
        return betweenTokens;
    }

    double factor() {
        return Math.max(firstToken.factor(), betweenTokens.factor());
    }

    boolean slow() {
        return slow;
    }

    boolean ejected() {
        return ejected;
    }

    boolean suspected() {
        return slow || ejected;
    }

    long probeAtNanos() {
        return probeAtNanos;
    }

    boolean probeDue(long nowNanos) {
        return nowNanos >= probeAtNanos;
    }

    /** Whether a probe has been due for so long that a request of any kind will do. */
    boolean probeOverdue(long nowNanos) {
        return nowNanos >= probeAtNanos + 2 * probeIntervalNanos;
    }

    void probeSent(long nowNanos) {
        probeIntervalNanos = Math.min(LONGEST_PROBE_NANOS, 2 * probeIntervalNanos);
        probeAtNanos = nowNanos + probeIntervalNanos;
    }

    void fault() {
        faultsRunning++;
    }

    void success() {
        faultsRunning = 0;
    }

    /** Updates the state; {@code maySuspect} says whether one more endpoint may come under suspicion. */
    void judge(double poolFactor, boolean maySuspect, long nowNanos) {
        boolean slowNow = factor() > SLOW_FACTOR * Math.max(1, poolFactor);
        boolean failing = faultsRunning >= FAULTS_TO_EJECT;
        if (!suspected() && (slowNow || failing)) {
            suspect(slowNow, failing, maySuspect, nowNanos);
        } else if (suspected() && faultsRunning == 0 && factor() < RECOVERED_FACTOR * Math.max(1, poolFactor)) {
            slow = false;
            ejected = false;
            probeIntervalNanos = FIRST_PROBE_NANOS;
        } else if (slow && failing) {
            ejected = true;
        }
    }

    private void suspect(boolean slowNow, boolean failing, boolean maySuspect, long nowNanos) {
        if (maySuspect) {
            slow = slowNow;
            ejected = failing;
            probeAtNanos = nowNanos + probeIntervalNanos;
        }
    }
}
