package org.cowslippick.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.standin.engine.StandinModelEngine.CacheEventsBody;
import org.cowslippick.standin.engine.StandinModelEngine.LoadBody;

/** Steps a batch in real time and records its load, which is reported with a delay. */
final class EngineLoop implements AutoCloseable {

    private static final Duration REPORT_PERIOD = Duration.ofMillis(50);

    private final TimerService timer;
    private final DoubleSupplier slowdown;
    private final Duration reportDelay;
    private final ContinuousBatch batch;
    private final ArrayDeque<LoadBody> loadHistory = new ArrayDeque<>();
    private final TimerService.Subscription reportTimer;
    private boolean isStepping;
    private boolean isClosed;

    EngineLoop(EngineSpeed speed, TimerService timer, DoubleSupplier slowdown, Duration reportDelay) {
        this.timer = timer;
        this.slowdown = slowdown;
        this.reportDelay = reportDelay;
        this.batch = new ContinuousBatch(speed);
        this.reportTimer = timer.scheduleWithFixedDelay(REPORT_PERIOD, this::recordLoad);
    }

    synchronized void add(Sequence sequence) {
        batch.add(sequence);
        if (!isStepping) {
            isStepping = true;
            startStep();
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

    synchronized LoadBody reportedLoad() {
        return loadHistory.isEmpty() ? new LoadBody(0, 0, 0, reportDelay.toMillis()) : loadHistory.peekFirst();
    }

    synchronized CacheEventsBody cacheEvents(long after) {
        boolean gap = after + 1 < batch.cache().oldestRetainedSequence();
        return new CacheEventsBody(
                batch.cache().lastSequence(), gap, batch.cache().eventsAfter(after));
    }

    @Override
    public synchronized void close() {
        isClosed = true;
        reportTimer.cancel();
    }

    private void startStep() {
        if (isClosed) {
            return;
        }
        long nanos = Math.round(batch.beginStep() * slowdown.getAsDouble());
        timer.schedule(Duration.ofNanos(nanos), this::completeStep);
    }

    private synchronized void completeStep() {
        if (isClosed) {
            return;
        }
        batch.endStep();
        if (batch.isIdle()) {
            isStepping = false;
        } else {
            startStep();
        }
    }

    private synchronized void recordLoad() {
        loadHistory.addLast(new LoadBody(batch.runningCount(), batch.waitingCount(), 0, reportDelay.toMillis()));
        while (loadHistory.size() > reportDelay.toMillis() / REPORT_PERIOD.toMillis()) {
            loadHistory.removeFirst();
        }
    }
}
