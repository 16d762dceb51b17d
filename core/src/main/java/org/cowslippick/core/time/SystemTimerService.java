package org.cowslippick.core.time;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The timer service of a running process: the machine's clocks and one thread. */
public final class SystemTimerService implements TimerService, AutoCloseable {

    private final Clock clock = Clock.systemUTC();
    private final ScheduledThreadPoolExecutor executor;
    private final Consumer<Throwable> failedTasks;

    /** Creates the service and its thread; failures of tasks go to the consumer. */
    // Only this class removes cancelled tasks at once; every request cancels one or two.
    @SuppressWarnings("DangerousThreadPoolExecutorUsage")
    public SystemTimerService(Consumer<Throwable> failedTasks) {
        this.failedTasks = failedTasks;
        this.executor = new ScheduledThreadPoolExecutor(1, SystemTimerService::daemon);
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
        return subscription(executor.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public Subscription scheduleWithFixedDelay(Duration period, Runnable task) {
        return subscription(executor.scheduleWithFixedDelay(
                guarded(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error failure) {
                failedTasks.accept(failure);
            }
        };
    }

    private static Subscription subscription(Future<?> future) {
        return () -> future.cancel(false);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "cowslippick-timer");
        thread.setDaemon(true);
        return thread;
    }
}
