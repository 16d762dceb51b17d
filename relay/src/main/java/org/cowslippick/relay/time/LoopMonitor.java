package org.cowslippick.relay.time;

import com.google.common.collect.Comparators;
import io.netty.channel.SingleThreadEventLoop;
import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Measures how far an event loop is behind, by the delay of a periodic task. While it is behind, bytes wait unread in
 * sockets, and among them may be the close of a connection whose request is about to be sent on.
 */
public final class LoopMonitor {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.loop");
    private static final Duration PERIOD = Duration.ofMillis(100);

    /** Timers of a loop that keeps up are late by a few milliseconds. */
    private static final long TOLERANCE_NANOS = Duration.ofMillis(30).toNanos();

    /** Delays from here on are logged, as callers notice them. */
    private static final long LOGGED_NANOS = Duration.ofMillis(250).toNanos();

    /**
     * Iterations until all is read that had arrived when the loop was found to be behind: one accepts a connection, one
     * reads its request, and one its close.
     */
    private static final int ITERATIONS_TO_CATCH_UP = 3;

    private final SingleThreadEventLoop loop;
    private final TimerService timer;
    private long dueNanos;
    private Optional<Long> behindSinceNanos = Optional.empty();
    private long delays;
    private Duration longestDelay = Duration.ZERO;

    /** Starts to measure. All methods must be called on the event loop. */
    public LoopMonitor(SingleThreadEventLoop loop, TimerService timer) {
        this.loop = loop;
        this.timer = timer;
        this.dueNanos = timer.nanoTime() + PERIOD.toNanos();
        timer.scheduleWithFixedDelay(PERIOD, this::measure);
    }

    /** For how long bytes that are read now may have waited; 0 if the loop keeps up. */
    public Duration lag() {
        long now = timer.nanoTime();
        return Duration.ofNanos(now - behindSinceNanos.orElseGet(() -> isOverdue(now) ? dueNanos : now));
    }

    /** The longest delay of the loop since the last call. */
    public Duration takeLongestDelay() {
        Duration longest = longestDelay;
        longestDelay = Duration.ZERO;
        return longest;
    }

    /** Runs the task when everything is read that has arrived by now: at once if the loop keeps up. */
    public void afterReading(Runnable task) {
        if (lag().isZero()) {
            task.run();
        } else {
            afterIterations(ITERATIONS_TO_CATCH_UP, task);
        }
    }

    /** As {@link #afterReading}, but reads at least once also if the loop keeps up. */
    public void afterFurtherReading(Runnable task) {
        afterIterations(lag().isZero() ? 1 : ITERATIONS_TO_CATCH_UP, task);
    }

    private boolean isOverdue(long nowNanos) {
        return nowNanos - dueNanos > TOLERANCE_NANOS;
    }

    private void measure() {
        long now = timer.nanoTime();
        if (isOverdue(now)) {
            delays++;
            behindSinceNanos = Optional.of(dueNanos);
            long measured = delays;
            afterIterations(ITERATIONS_TO_CATCH_UP, () -> caughtUp(measured));
            Duration delay = Duration.ofNanos(now - dueNanos);
            longestDelay = Comparators.max(longestDelay, delay);
            log(delay);
        }
        dueNanos = now + PERIOD.toNanos();
    }

    private void caughtUp(long measured) {
        if (measured == delays) {
            behindSinceNanos = Optional.empty();
        }
    }

    private static void log(Duration lag) {
        if (lag.toNanos() >= LOGGED_NANOS) {
            LOGGER.warn(LogLine.of("loop-behind").with("lagMs", lag.toMillis()));
        }
    }

    /** Runs the task after the given number of iterations of the loop, each of which reads all readable connections once. */
    private void afterIterations(int iterations, Runnable task) {
        if (iterations == 0) {
            task.run();
            return;
        }
        loop.executeAfterEventLoopIteration(() -> loop.execute(() -> afterIterations(iterations - 1, task)));
    }
}
