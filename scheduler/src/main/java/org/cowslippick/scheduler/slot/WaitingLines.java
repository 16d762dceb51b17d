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
 * Requests that wait, in the order in which they get slots: those that can still be on time by rank, then those that
 * cannot. Adding and removing cost the logarithm of the number waiting, so that a crest does not slow its own drain.
 */
final class WaitingLines {

    private static final Comparator<SlotRequest> IN_TURN = Comparator.comparing(
                    (SlotRequest request) -> !request.isCallerRetry())
            .thenComparingLong(SlotRequest::arrivedAtNanos)
            .thenComparing(request -> request.key().instance().value())
            .thenComparingLong(request -> request.key().number());

    private final Map<SlotKey, SlotRequest> requests = new HashMap<>();
    private final NavigableMap<Urgency, NavigableSet<SlotRequest>> fresh = new TreeMap<>();
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
        line(fresh, request).add(request);
    }

    Optional<SlotRequest> remove(SlotKey key) {
        Optional<SlotRequest> removed = Optional.ofNullable(requests.remove(key));
        removed.ifPresent(request -> {
            removeFrom(fresh, request);
            removeFrom(late, request);
        });
        return removed;
    }

    /** Puts a request behind all that can still be on time. */
    void markLate(SlotRequest request) {
        if (removeFrom(fresh, request)) {
            line(late, request).add(request);
        }
    }

    /** All requests, in no order. */
    Stream<SlotRequest> all() {
        return requests.values().stream();
    }

    /** Those that were not found late, the most urgent first. */
    Stream<SlotRequest> fresh() {
        return fresh.values().stream().flatMap(NavigableSet::stream);
    }

    /** Those that were found late, the most urgent first. */
    Stream<SlotRequest> late() {
        return late.values().stream().flatMap(NavigableSet::stream);
    }

    /** How many requests that are not late go before a new one that is as urgent as the given one. */
    int ahead(SlotRequest request) {
        return fresh.headMap(Urgency.of(request), true).values().stream()
                .mapToInt(NavigableSet::size)
                .sum();
    }

    /** The request that is next among those as urgent as the given one and not late. */
    Optional<SlotRequest> firstLike(SlotRequest request) {
        return Optional.ofNullable(fresh.get(Urgency.of(request))).map(NavigableSet::first);
    }

    private static NavigableSet<SlotRequest> line(
            NavigableMap<Urgency, NavigableSet<SlotRequest>> lines, SlotRequest request) {
        return lines.computeIfAbsent(Urgency.of(request), _urgency -> new TreeSet<>(IN_TURN));
    }

    private static boolean removeFrom(NavigableMap<Urgency, NavigableSet<SlotRequest>> lines, SlotRequest request) {
        Urgency urgency = Urgency.of(request);
        NavigableSet<SlotRequest> line = lines.get(urgency);
        if (line == null || !line.remove(request)) {
            return false;
        }
        if (line.isEmpty()) {
            lines.remove(urgency);
        }
        return true;
    }

    /** The rank that the configuration gives a request: the organisation's, then the route's. */
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
