package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Items, told apart by identity, that become due at set times; an item has one time at most. */
final class DueSet<T> {

    private record Due<T>(T item, long atNanos, long sequence) {}

    private final TreeSet<Due<T>> byTime =
            new TreeSet<>(Comparator.<Due<T>>comparingLong(Due::atNanos).thenComparingLong(Due::sequence));
    private final Map<T, Due<T>> byItem = new HashMap<>();
    private long nextSequence;

    /** Sets when an item is due, in place of an earlier time. */
    void put(T item, long atNanos) {
        remove(item);
        Due<T> due = new Due<>(item, atNanos, nextSequence++);
        byTime.add(due);
        byItem.put(item, due);
    }

    void remove(T item) {
        Due<T> due = byItem.remove(item);
        if (due != null) {
            byTime.remove(due);
        }
    }

    int size() {
        return byTime.size();
    }

    ImmutableList<T> removeDue(long nowNanos) {
        List<T> due = new ArrayList<>();
        while (!byTime.isEmpty() && byTime.first().atNanos() <= nowNanos) {
            T item = byTime.first().item();
            remove(item);
            due.add(item);
        }
        return ImmutableList.copyOf(due);
    }
}
