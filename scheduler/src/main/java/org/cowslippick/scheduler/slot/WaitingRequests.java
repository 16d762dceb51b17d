package org.cowslippick.scheduler.slot;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntBiFunction;
import java.util.stream.Stream;
import org.cowslippick.scheduler.share.FairQueue;

/**
 * The waiting requests in dispatch order: those that can still be on time by rank, then late ones by rank. Requests of
 * the same urgency are shared between organisations; within an organisation callers' retries go first, then the order of
 * arrival counts. Adding and removing take logarithmic time, so that draining the queue does not slow down at peak load.
 */
final class WaitingRequests {

    private static final Comparator<SlotRequest> DISPATCH_ORDER = Comparator.comparing(
                    (SlotRequest request) -> !request.isCallerRetry())
            .thenComparingLong(SlotRequest::arrivedAtNanos)
            .thenComparing(request -> request.key().instance().value())
            .thenComparingLong(request -> request.key().number());

    private static final int MAXIMUM_CONSIDERED = 64;

    private final Map<SlotKey, SlotRequest> requests = new HashMap<>();
    private final NavigableMap<Urgency, FairQueue<SlotRequest>> onTime = new TreeMap<>();
    private final NavigableMap<Urgency, FairQueue<SlotRequest>> late = new TreeMap<>();

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

    /** Removes a request that is not dispatched. */
    Optional<SlotRequest> remove(SlotKey key) {
        Optional<SlotRequest> removed = Optional.ofNullable(requests.remove(key));
        removed.ifPresent(request -> {
            removeFrom(onTime, request);
            removeFrom(late, request);
        });
        return removed;
    }

    /** Removes a request that is dispatched, which counts against the share of its organisation. */
    void take(SlotRequest request, long nowNanos) {
        takeFrom(onTime, request, nowNanos);
        takeFrom(late, request, nowNanos);
        remove(request.key());
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

    /** The requests not marked late, in dispatch order. */
    Stream<SlotRequest> onTime() {
        return onTime.values().stream().flatMap(FairQueue::stream);
    }

    /** The first of the requests not marked late. */
    Optional<SlotRequest> firstOnTime() {
        return onTime.isEmpty()
                ? Optional.empty()
                : onTime.firstEntry().getValue().first();
    }

    /** The requests marked late, in dispatch order. */
    Stream<SlotRequest> late() {
        return late.values().stream().flatMap(FairQueue::stream);
    }

    /**
     * The first result in dispatch order; late requests come last. Evaluates no further request, and a limited number of each
     * urgency and required version, so that a step takes little time if the free endpoints suit none of many waiting requests.
     */
    <T> Optional<T> first(Function<SlotRequest, Optional<T>> function) {
        return Stream.concat(onTime.values().stream(), late.values().stream())
                .map(queue -> queue.stream()
                        .filter(new ConsiderationLimit(MAXIMUM_CONSIDERED))
                        .map(function)
                        .<T>mapMulti(Optional::ifPresent)
                        .findFirst())
                .<T>mapMulti(Optional::ifPresent)
                .findFirst();
    }

    /** Counts the requests not marked late that are dispatched before a new first attempt like the given request. */
    int countAhead(SlotRequest request) {
        return countAhead(request, FairQueue::countAhead);
    }

    /** Counts the requests not marked late that are dispatched before a caller's retry like the given request. */
    int countAheadOfRetry(SlotRequest request) {
        return countAhead(request, FairQueue::countAheadOfReturn);
    }

    private int countAhead(SlotRequest request, ToIntBiFunction<FairQueue<SlotRequest>, SlotRequest> count) {
        int moreUrgent = onTime.headMap(Urgency.of(request), false).values().stream()
                .mapToInt(FairQueue::size)
                .sum();
        return moreUrgent
                + sameUrgency(request)
                        .map(queue -> count.applyAsInt(queue, request))
                        .orElse(0);
    }

    /**
     * How long requests wait that would be dispatched before the given one: the first of its organisation. If none of its
     * organisation waits, the wait of others counts only for as long as nothing of its urgency has been dispatched.
     */
    long waitedNanos(SlotRequest request, long nowNanos) {
        return sameUrgency(request)
                .map(queue -> queue.firstOfOrganisation(request)
                        .filter(first -> first.isCallerRetry() || !request.isCallerRetry())
                        .map(first -> nowNanos - first.arrivedAtNanos())
                        .orElseGet(() -> stalledNanos(queue, nowNanos)))
                .orElse(0L);
    }

    private static long stalledNanos(FairQueue<SlotRequest> queue, long nowNanos) {
        long waited =
                queue.first().map(first -> nowNanos - first.arrivedAtNanos()).orElse(0L);
        return queue.takenAtNanos()
                .map(taken -> Math.min(waited, nowNanos - taken))
                .orElse(waited);
    }

    /**
     * Returns the request that a full queue gives up for a new one: the last of the lowest urgency, late ones first. One
     * of the same urgency is given up only for a caller's retry, or for an organisation that has less waiting.
     */
    Optional<SlotRequest> replaceableBy(SlotRequest request) {
        Urgency urgency = Urgency.of(request);
        Map.Entry<Urgency, FairQueue<SlotRequest>> lowest = lowestUrgency();
        int comparison = lowest == null ? -1 : lowest.getKey().compareTo(urgency);
        if (comparison < 0) {
            return Optional.empty();
        }
        return comparison == 0
                ? lowest.getValue().replaceableBy(request)
                : lowest.getValue().last();
    }

    private Map.Entry<Urgency, FairQueue<SlotRequest>> lowestUrgency() {
        Map.Entry<Urgency, FairQueue<SlotRequest>> lowestLate = late.lastEntry();
        Map.Entry<Urgency, FairQueue<SlotRequest>> lowestOnTime = onTime.lastEntry();
        boolean isLate = lowestLate != null
                && (lowestOnTime == null || lowestLate.getKey().compareTo(lowestOnTime.getKey()) >= 0);
        return isLate ? lowestLate : lowestOnTime;
    }

    private Optional<FairQueue<SlotRequest>> sameUrgency(SlotRequest request) {
        return Optional.ofNullable(onTime.get(Urgency.of(request)));
    }

    /** The scarce work of a request. */
    private static double work(SlotRequest request) {
        return request.promptTokens() == 0 ? 1 : request.promptTokens() + EndpointLoad.OVERHEAD_TOKENS;
    }

    private static FairQueue<SlotRequest> queue(
            NavigableMap<Urgency, FairQueue<SlotRequest>> queues, SlotRequest request) {
        return queues.computeIfAbsent(
                Urgency.of(request),
                _urgency -> new FairQueue<>(
                        DISPATCH_ORDER, SlotRequest::organisation, WaitingRequests::work, SlotRequest::isCallerRetry));
    }

    private static boolean removeFrom(NavigableMap<Urgency, FairQueue<SlotRequest>> queues, SlotRequest request) {
        return change(queues, request, queue -> queue.remove(request));
    }

    private static void takeFrom(
            NavigableMap<Urgency, FairQueue<SlotRequest>> queues, SlotRequest request, long nowNanos) {
        change(queues, request, queue -> queue.take(request, nowNanos));
    }

    /** Changes the queue of a request's urgency and forgets it once it is empty, with the shares used so far. */
    private static boolean change(
            NavigableMap<Urgency, FairQueue<SlotRequest>> queues,
            SlotRequest request,
            Predicate<FairQueue<SlotRequest>> change) {
        Urgency urgency = Urgency.of(request);
        FairQueue<SlotRequest> queue = queues.get(urgency);
        boolean changed = queue != null && change.test(queue);
        if (changed && queue.isEmpty()) {
            queues.remove(urgency);
        }
        return changed;
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
