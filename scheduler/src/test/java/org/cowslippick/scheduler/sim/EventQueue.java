package org.cowslippick.scheduler.sim;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Discrete event queue on simulated time; events at the same time run in the order of insertion. */
final class EventQueue {

    private record Event(long atNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    long nowNanos() {
        return nowNanos;
    }

    void scheduleAfter(long nanos, Runnable action) {
        scheduleAt(nowNanos + nanos, action);
    }

    void scheduleAt(long nanos, Runnable action) {
        events.add(new Event(nanos, nextSequence++, action));
    }

    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
    }
}
