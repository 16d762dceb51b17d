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

/** The timer service of the parts that live on one event loop: their tasks run there, so that they need no locks. */
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
    public Subscription after(Duration delay, Runnable task) {
        return subscription(loop.schedule(guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        return subscription(
                loop.scheduleWithFixedDelay(guarded(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS));
    }

    /** The event loop would keep a failure to itself, and a periodic task would end with it. */
    private static Runnable guarded(Runnable task) {
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
