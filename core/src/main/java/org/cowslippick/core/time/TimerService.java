package org.cowslippick.core.time;

import java.time.Duration;
import java.time.Instant;

/** The only source of time and of delayed execution, so that tests and simulations can control both. */
public interface TimerService {

    /** Returns monotonic time in nanoseconds, comparable only within this process. */
    long nanoTime();

    /** Returns wall-clock time. */
    Instant now();

    /** Runs the task once after the delay. Tasks share one thread and must not block. */
    Subscription schedule(Duration delay, Runnable task);

    /** Runs the task repeatedly, first after one period and then one period after the end of each run. */
    Subscription scheduleWithFixedDelay(Duration period, Runnable task);

    /** A handle that cancels a scheduled task or a registered listener. */
    interface Subscription {
        /** Prevents further calls; a call in progress is not interrupted. */
        void cancel();
    }
}
