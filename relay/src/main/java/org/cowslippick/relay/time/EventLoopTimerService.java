package org.cowslippick.relay.time;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.relay.log.LogLine;
import org.jboss.logging.Logger;

/** Runs timer tasks on one event loop, so that components confined to it need no locks. */
public final class EventLoopTimerService implements TimerService {

    private static final Logger LOGGER = Logger.getLogger("cowslippick.timer");

    private final EventLoop loop;
    private final Clock clock = Clock.systemUTC();

    public EventLoopTimerService(EventLoop loop) {
        this.loop = loop;
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
        return subscription(loop.schedule(loggingFailures(task), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public Subscription scheduleWithFixedDelay(Duration period, Runnable task) {
        return subscription(loop.scheduleWithFixedDelay(
                loggingFailures(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS));
    }

    /** Logs exceptions: the event loop would swallow them, and a periodic task would stop. */
    private static Runnable loggingFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException failure) {
                LOGGER.error(LogLine.of("task-failed"), failure);
            }
        };
    }

    private static Subscription subscription(Future<?> scheduled) {
        return () -> scheduled.cancel(false);
    }
}
