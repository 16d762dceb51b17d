package org.cowslippick.core.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A timer service whose clock advances only on request, so that embedding code can replay a run exactly. */
public final class ManualTimerService implements TimerService {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::sequence));
    private long nanos;
    private long sequence;

    @Override
    public synchronized long nanoTime() {
        return nanos;
    }

    @Override
    public synchronized Instant now() {
        return Instant.EPOCH.plusNanos(nanos);
    }

    @Override
    public synchronized Subscription schedule(Duration delay, Runnable action) {
        Task task = new Task(nanos + delay.toNanos(), sequence++, action);
        tasks.add(task);
        return () -> remove(task);
    }

    @Override
    public Subscription scheduleWithFixedDelay(Duration period, Runnable action) {
        Repeating repeating = new Repeating(period, action);
        repeating.scheduleNext();
        return repeating;
    }

    /** Advances the clock and runs every task that becomes due, in order of due time. */
    public void advance(Duration duration) {
        long end = nanoTime() + duration.toNanos();
        for (Task task = removeNextDue(end); task != null; task = removeNextDue(end)) {
            task.action().run();
        }
        advanceClockTo(end);
    }

    private synchronized Task removeNextDue(long end) {
        Task task = tasks.peek();
        if (task == null || task.dueNanos() > end) {
            return null;
        }
        tasks.remove();
        nanos = Math.max(nanos, task.dueNanos());
        return task;
    }

    private synchronized void advanceClockTo(long end) {
        nanos = Math.max(nanos, end);
    }

    private synchronized void remove(Task task) {
        tasks.remove(task);
    }

    private record Task(long dueNanos, long sequence, Runnable action) {}

    private final class Repeating implements Subscription {
        private final Duration period;
        private final Runnable action;
        private boolean cancelled;
        private Subscription current;

        Repeating(Duration period, Runnable action) {
            this.period = period;
            this.action = action;
        }

        synchronized void scheduleNext() {
            if (!cancelled) {
                current = schedule(period, this::run);
            }
        }

        @Override
        public synchronized void cancel() {
            cancelled = true;
            current.cancel();
        }

        private void run() {
            action.run();
            scheduleNext();
        }
    }
}
