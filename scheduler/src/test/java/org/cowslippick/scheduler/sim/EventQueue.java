package org.cowslippick.scheduler.sim;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: actions in order of their instants. */
final class EventQueue {

    private record Event(long atNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    long nowNanos() {
        return nowNanos;
    }

    void after(long nanos, Runnable action) {
        at(nowNanos + nanos, action);
    }

    void at(long nanos, Runnable action) {
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
