package org.cowslippick.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslippick.core.time.TimerService;

/**
 * The clock of a loop monitor. Periodic tasks run on the event loop and are never late, unless the test says for how long
 * the loop stood still; so the load of the machine does not show.
 */
final class LoopClock implements TimerService {

    private final TimerService loop;
    private final AtomicLong nanos = new AtomicLong();

    LoopClock(TimerService loop) {
        this.loop = loop;
    }

    void standStill(Duration duration) {
        nanos.addAndGet(duration.toNanos());
    }

    @Override
    public long nanoTime() {
        return nanos.get();
    }

    @Override
    public Instant now() {
        return Instant.EPOCH.plusNanos(nanos.get());
    }

    @Override
    public Subscription schedule(Duration delay, Runnable task) {
        return loop.schedule(delay, task);
    }

    @Override
    public Subscription scheduleWithFixedDelay(Duration period, Runnable task) {
        return loop.scheduleWithFixedDelay(period, () -> {
            nanos.addAndGet(period.toNanos());
            task.run();
        });
    }
}
