package org.cowslippick.scheduler.pool;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.cowslippick.core.request.RequestId;

/** Requests that go back to the queue at a set time. */
final class DelayedRequests {

    private record Delayed(TrackedRequest request, long readyAtNanos, long sequence) {}

    private final TreeSet<Delayed> byTime =
            new TreeSet<>(Comparator.comparingLong(Delayed::readyAtNanos).thenComparingLong(Delayed::sequence));
    private final Map<RequestId, Delayed> byId = new HashMap<>();
    private long nextSequence;

    void add(TrackedRequest request, long readyAtNanos) {
        Delayed delayed = new Delayed(request, readyAtNanos, nextSequence++);
        byTime.add(delayed);
        byId.put(request.descriptor().id(), delayed);
    }

    void remove(RequestId id) {
        Delayed delayed = byId.remove(id);
        if (delayed != null) {
            byTime.remove(delayed);
        }
    }

    int size() {
        return byTime.size();
    }

    ImmutableList<TrackedRequest> removeReady(long nowNanos) {
        List<TrackedRequest> ready = new ArrayList<>();
        while (!byTime.isEmpty() && byTime.first().readyAtNanos() <= nowNanos) {
            Delayed first = byTime.first();
            remove(first.request().descriptor().id());
            ready.add(first.request());
        }
        return ImmutableList.copyOf(ready);
    }
}
