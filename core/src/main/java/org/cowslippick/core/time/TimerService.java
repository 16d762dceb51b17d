package org.cowslippick.core.time;

import java.time.Duration;
import java.time.Instant;

/** The one source of time: parts read the clock here and subscribe to be called later. */
public interface TimerService {

    /** Monotonic time in nanoseconds, comparable only within this process. */
    long nanoTime();

    /** Wall-clock time. */
    Instant now();

    /** Calls the task once after the delay. Tasks must be short; they share one thread. */
    Subscription schedule(Duration delay, Runnable task);

    /** Calls the task again and again with the period between the calls. */
    Subscription scheduleWithFixedDelay(Duration period, Runnable task);

    /** A task that waits for its time. */
    interface Subscription {
        /** Ensures that the task is not called again. */
        void cancel();
    }
}
