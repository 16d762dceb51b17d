package org.cowslippick.relay.time;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.cowslippick.core.time.TimerService;

/** The timer service of the parts that live on one event loop: their tasks run there, so that they need no locks. */
public final class LoopTimerService implements TimerService {

    private final EventLoop loop;
    private final Clock clock = Clock.systemUTC();

    public LoopTimerService(EventLoop loop) {
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
        return subscription(loop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        return subscription(
                loop.scheduleWithFixedDelay(task, period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS));
    }

    private static Subscription subscription(Future<?> scheduled) {
        return () -> scheduled.cancel(false);
    }
}
