package org.cowslippick.fleet.platform;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a call may be sent: a call rate limit by the generic cell rate algorithm (GCRA), and after a failure
 * exponential backoff with jitter, followed by a half-open state in which one call probes while others are refused. The
 * current time is an argument of each method.
 */
final class CallLimiter {

    private static final long FIRST_BACKOFF_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAXIMUM_BACKOFF_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long MAXIMUM_WAIT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAXIMUM_DOUBLINGS = 10;

    private final long intervalNanos;
    private final long burstNanos;
    private final RandomGenerator random;
    private long nextSlotNanos;
    private long backoffUntilNanos;
    private int failures;
    private boolean isProbing;
    private long probeStartNanos;

    CallLimiter(double callsPerSecond, int burst, long nowNanos, RandomGenerator random) {
        this.intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / callsPerSecond);
        this.burstNanos = intervalNanos * burst;
        this.random = random;
        this.nextSlotNanos = nowNanos - burstNanos;
        this.backoffUntilNanos = nowNanos;
    }

    /** Returns how long the call has to wait in nanoseconds; empty if it is refused. */
    synchronized OptionalLong admit(long nowNanos) {
        if (failures > 0) {
            return admitProbe(nowNanos);
        }
        nextSlotNanos = Math.max(nextSlotNanos, nowNanos - burstNanos);
        long wait = Math.max(0, nextSlotNanos - nowNanos);
        if (wait > MAXIMUM_WAIT_NANOS) {
            return OptionalLong.empty();
        }
        nextSlotNanos += intervalNanos;
        return OptionalLong.of(wait);
    }

    /** Records that the platform responded; after an outage the rate limit starts without a burst. */
    synchronized void recordResponse(long nowNanos) {
        if (failures > 0) {
            nextSlotNanos = nowNanos + intervalNanos;
        }
        failures = 0;
        isProbing = false;
    }

    /** Records that the platform did not respond; calls that fail during one backoff count once. */
    synchronized void recordFailure(long nowNanos) {
        isProbing = false;
        if (nowNanos - backoffUntilNanos >= 0) {
            long backoff =
                    Math.min(MAXIMUM_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(failures, MAXIMUM_DOUBLINGS));
            backoffUntilNanos = nowNanos + random.nextLong(backoff / 2, backoff + 1);
            failures++;
        }
    }

    /** Returns the remaining backoff, but at least the first backoff. */
    synchronized Duration remainingBackoff(long nowNanos) {
        return Duration.ofNanos(Math.max(FIRST_BACKOFF_NANOS, backoffUntilNanos - nowNanos));
    }

    /** Like {@link #admit}, but a watch never serves as the probe, as it may be silent for a long time. */
    synchronized OptionalLong admitWatch(long nowNanos) {
        if (failures > 0) {
            return nowNanos - backoffUntilNanos < 0 ? OptionalLong.empty() : OptionalLong.of(0);
        }
        return admit(nowNanos);
    }

    private OptionalLong admitProbe(long nowNanos) {
        boolean isProbePending = isProbing && nowNanos - probeStartNanos < MAXIMUM_BACKOFF_NANOS;
        if (isProbePending || nowNanos - backoffUntilNanos < 0) {
            return OptionalLong.empty();
        }
        isProbing = true;
        probeStartNanos = nowNanos;
        return OptionalLong.of(0);
    }
}
