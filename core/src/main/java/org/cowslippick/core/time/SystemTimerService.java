package org.cowslippick.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A timer service that uses the system clocks and runs all tasks on one daemon thread. */
public final class SystemTimerService implements TimerService, AutoCloseable {

    private final Clock clock = Clock.systemUTC();
    private final ScheduledThreadPoolExecutor executor;
    private final Consumer<Throwable> failureHandler;

    /** Creates the service; exceptions thrown by tasks are passed to the consumer. */
    // ScheduledThreadPoolExecutor is used directly for setRemoveOnCancelPolicy: every request cancels one or two
    // tasks, which would otherwise stay queued until they are due.
    @SuppressWarnings("DangerousThreadPoolExecutorUsage")
    public SystemTimerService(Consumer<Throwable> failureHandler) {
        this.failureHandler = failureHandler;
        this.executor = new ScheduledThreadPoolExecutor(1, SystemTimerService::daemonThread);
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public Instant now() {
        return clock.instant();
    }

    @Override
    public Subscription schedule(Duration delay, Runnable task) {
        return subscription(executor.schedule(reportingFailures(task), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public Subscription scheduleWithFixedDelay(Duration period, Runnable task) {
        return subscription(executor.scheduleWithFixedDelay(
                reportingFailures(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private Runnable reportingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error failure) {
                failureHandler.accept(failure);
            }
        };
    }

    private static Subscription subscription(Future<?> future) {
        return () -> future.cancel(false);
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "cowslippick-timer");
        thread.setDaemon(true);
        return thread;
    }
}
