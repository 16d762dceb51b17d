package org.cowslippick.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.standin.engine.StandinModelEngine.CacheEventsBody;
import org.cowslippick.standin.engine.StandinModelEngine.LoadBody;

/** Steps a batch in real time and remembers its load for reports that lag. */
final class EngineLoop implements AutoCloseable {

    private static final Duration REPORT_PERIOD = Duration.ofMillis(50);

    private final TimerService timer;
    private final DoubleSupplier slowdown;
    private final Duration reportLag;
    private final ContinuousBatch batch;
    private final ArrayDeque<LoadBody> reports = new ArrayDeque<>();
    private final TimerService.Subscription reporting;
    private boolean stepping;
    private boolean closed;

    EngineLoop(EngineSpeed speed, TimerService timer, DoubleSupplier slowdown, Duration reportLag) {
        this.timer = timer;
        this.slowdown = slowdown;
        this.reportLag = reportLag;
        this.batch = new ContinuousBatch(speed);
        this.reporting = timer.scheduleWithFixedDelay(REPORT_PERIOD, this::remember);
    }

    synchronized void add(Sequence sequence) {
        batch.add(sequence);
        if (!stepping) {
            stepping = true;
            step();
        }
    }

    synchronized Optional<Sequence> find(String id) {
        return batch.find(id);
    }

    synchronized boolean cancel(String id) {
        return batch.cancel(id);
    }

    synchronized EngineCounters counters() {
        return batch.counters();
    }

    synchronized LoadBody load() {
        return reports.isEmpty() ? new LoadBody(0, 0, 0, reportLag.toMillis()) : reports.peekFirst();
    }

    synchronized CacheEventsBody cacheEvents(long after) {
        boolean gap = after + 1 < batch.cache().firstRemembered();
        return new CacheEventsBody(batch.cache().last(), gap, batch.cache().eventsAfter(after));
    }

    @Override
    public synchronized void close() {
        closed = true;
        reporting.cancel();
    }

    private void step() {
        if (closed) {
            return;
        }
        long nanos = Math.round(batch.beginStep() * slowdown.getAsDouble());
        timer.schedule(Duration.ofNanos(nanos), this::stepEnded);
    }

    private synchronized void stepEnded() {
        if (closed) {
            return;
        }
        batch.endStep();
        if (batch.idle()) {
            stepping = false;
        } else {
            step();
        }
    }

    private synchronized void remember() {
        reports.addLast(new LoadBody(batch.runningCount(), batch.waitingCount(), 0, reportLag.toMillis()));
        while (reports.size() > reportLag.toMillis() / REPORT_PERIOD.toMillis()) {
            reports.removeFirst();
        }
    }
}
