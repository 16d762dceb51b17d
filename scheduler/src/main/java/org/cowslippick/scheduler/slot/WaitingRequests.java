package org.cowslippick.scheduler.slot;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The waiting requests in dispatch order: those that can still be on time by rank, then late ones by rank. Adding and
 * removing take logarithmic time, so that draining the queue does not slow down at peak load.
 */
final class WaitingRequests {

    private static final Comparator<SlotRequest> DISPATCH_ORDER = Comparator.comparing(
                    (SlotRequest request) -> !request.isCallerRetry())
            .thenComparingLong(SlotRequest::arrivedAtNanos)
            .thenComparing(request -> request.key().instance().value())
            .thenComparingLong(request -> request.key().number());

    private final Map<SlotKey, SlotRequest> requests = new HashMap<>();
    private final NavigableMap<Urgency, NavigableSet<SlotRequest>> onTime = new TreeMap<>();
    private final NavigableMap<Urgency, NavigableSet<SlotRequest>> late = new TreeMap<>();

    int size() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    void add(SlotRequest request) {
        remove(request.key());
        requests.put(request.key(), request);
        queue(onTime, request).add(request);
    }

    Optional<SlotRequest> remove(SlotKey key) {
        Optional<SlotRequest> removed = Optional.ofNullable(requests.remove(key));
        removed.ifPresent(request -> {
            removeFrom(onTime, request);
            removeFrom(late, request);
        });
        return removed;
    }

    /** Moves a request behind all that can still be on time. */
    void markLate(SlotRequest request) {
        if (removeFrom(onTime, request)) {
            queue(late, request).add(request);
        }
    }

    /** All requests, in no particular order. */
    Stream<SlotRequest> all() {
        return requests.values().stream();
    }

    /** The requests not marked late, most urgent first. */
    Stream<SlotRequest> onTime() {
        return onTime.values().stream().flatMap(NavigableSet::stream);
    }

    /** The requests marked late, most urgent first. */
    Stream<SlotRequest> late() {
        return late.values().stream().flatMap(NavigableSet::stream);
    }

    /** Counts the requests not marked late that precede a new one with the urgency of the given request. */
    int countAhead(SlotRequest request) {
        return onTime.headMap(Urgency.of(request), true).values().stream()
                .mapToInt(NavigableSet::size)
                .sum();
    }

    /** Returns the first request not marked late that has the urgency of the given request. */
    Optional<SlotRequest> firstOfSameUrgency(SlotRequest request) {
        return Optional.ofNullable(onTime.get(Urgency.of(request))).map(NavigableSet::first);
    }

    private static NavigableSet<SlotRequest> queue(
            NavigableMap<Urgency, NavigableSet<SlotRequest>> queues, SlotRequest request) {
        return queues.computeIfAbsent(Urgency.of(request), _urgency -> new TreeSet<>(DISPATCH_ORDER));
    }

    private static boolean removeFrom(NavigableMap<Urgency, NavigableSet<SlotRequest>> queues, SlotRequest request) {
        Urgency urgency = Urgency.of(request);
        NavigableSet<SlotRequest> queue = queues.get(urgency);
        if (queue == null || !queue.remove(request)) {
            return false;
        }
        if (queue.isEmpty()) {
            queues.remove(urgency);
        }
        return true;
    }

    /** The configured urgency of a request: the organisation's rank, then the route's rank. */
    private record Urgency(int rank, int routeRank) implements Comparable<Urgency> {

        private static final Comparator<Urgency> ORDER =
                Comparator.comparingInt(Urgency::rank).thenComparingInt(Urgency::routeRank);

        static Urgency of(SlotRequest request) {
            return new Urgency(request.rank(), request.routeRank());
        }

        @Override
        public int compareTo(Urgency other) {
            return ORDER.compare(this, other);
        }
    }
}
