package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Timers for items, which are distinguished by identity; each item has at most one timer. */
final class TimerSet<T> {

    private record Timer<T>(T item, long atNanos, long sequence) {}

    private final TreeSet<Timer<T>> byTime =
            new TreeSet<>(Comparator.<Timer<T>>comparingLong(Timer::atNanos).thenComparingLong(Timer::sequence));
    private final Map<T, Timer<T>> byItem = new HashMap<>();
    private long nextSequence;

    /** Schedules an item and replaces its earlier timer, if any. */
    void schedule(T item, long atNanos) {
        cancel(item);
        Timer<T> timer = new Timer<>(item, atNanos, nextSequence++);
        byTime.add(timer);
        byItem.put(item, timer);
    }

    void cancel(T item) {
        Timer<T> timer = byItem.remove(item);
        if (timer != null) {
            byTime.remove(timer);
        }
    }

    int size() {
        return byTime.size();
    }

    ImmutableList<T> removeDue(long nowNanos) {
        List<T> due = new ArrayList<>();
        while (!byTime.isEmpty() && byTime.first().atNanos() <= nowNanos) {
            T item = byTime.first().item();
            cancel(item);
            due.add(item);
        }
        return ImmutableList.copyOf(due);
    }
}
