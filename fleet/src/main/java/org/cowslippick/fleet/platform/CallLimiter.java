package org.cowslippick.fleet.platform;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a call may be sent: a call budget as a virtual schedule (GCRA), and after a failure exponential backoff
 * with jitter, at whose end one call probes while the others are refused. Time is an argument.
 */
final class CallLimiter {

    private static final long FIRST_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAXIMUM_BACKOFF_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long MAXIMUM_WAIT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAXIMUM_DOUBLINGS = 10;

    private final long intervalNanos;
    private final long burstNanos;
    private final RandomGenerator random;
    private long scheduledNanos;
    private long closedUntilNanos;
    private int failures;
    private boolean probing;
    private long probedNanos;

    CallLimiter(double callsPerSecond, int burst, long nowNanos, RandomGenerator random) {
        this.intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / callsPerSecond);
        this.burstNanos = intervalNanos * burst;
        this.random = random;
        this.scheduledNanos = nowNanos - burstNanos;
        this.closedUntilNanos = nowNanos;
    }

    /** How long the call has to wait, or empty if it is refused. */
    synchronized OptionalLong admit(long nowNanos) {
        if (failures > 0) {
            return probe(nowNanos);
        }
        scheduledNanos = Math.max(scheduledNanos, nowNanos - burstNanos);
        long wait = Math.max(0, scheduledNanos - nowNanos);
        if (wait > MAXIMUM_WAIT_NANOS) {
            return OptionalLong.empty();
        }
        scheduledNanos += intervalNanos;
        return OptionalLong.of(wait);
    }

    /** The platform answered; after an outage the budget starts with no burst. */
    synchronized void answered(long nowNanos) {
        if (failures > 0) {
            scheduledNanos = nowNanos + intervalNanos;
        }
        failures = 0;
        probing = false;
    }

    /** The platform did not answer; calls that failed together count once. */
    synchronized void failed(long nowNanos) {
        probing = false;
        if (nowNanos - closedUntilNanos >= 0) {
            long backoff =
                    Math.min(MAXIMUM_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(failures, MAXIMUM_DOUBLINGS));
            closedUntilNanos = nowNanos + random.nextLong(backoff / 2, backoff + 1);
            failures++;
        }
    }

    /** How long the gate stays closed. */
    synchronized Duration closedFor(long nowNanos) {
        return Duration.ofNanos(Math.max(FIRST_BACKOFF_NANOS, closedUntilNanos - nowNanos));
    }

    /** Like {@link #admit}, but it never counts as the probe, as a watch may stay quiet for long. */
    synchronized OptionalLong admitWatch(long nowNanos) {
        if (failures > 0) {
            return nowNanos - closedUntilNanos < 0 ? OptionalLong.empty() : OptionalLong.of(0);
        }
        return admit(nowNanos);
    }

    private OptionalLong probe(long nowNanos) {
        boolean probed = probing && nowNanos - probedNanos < MAXIMUM_BACKOFF_NANOS;
        if (probed || nowNanos - closedUntilNanos < 0) {
            return OptionalLong.empty();
        }
        probing = true;
        probedNanos = nowNanos;
        return OptionalLong.of(0);
    }
}
