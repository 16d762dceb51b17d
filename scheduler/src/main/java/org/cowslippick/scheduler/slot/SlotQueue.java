package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.Region;

/**
 * The slots of one service's endpoints and the requests that wait for one. An endpoint is chosen when a slot is free,
 * not on arrival. Requests that can still be on time go first, by rank; those that cannot fill what is left.
 */
public final class SlotQueue {

    /** Twice the one-way time between two regions, which a request to another region adds to its first token. */
    private static final long REGION_ROUND_TRIP_NANOS = Duration.ofMillis(60).toNanos();

    /** What one sure failure is worth avoiding, as time to the first token. */
    private static final long FAILURE_PENALTY_NANOS = Duration.ofSeconds(1).toNanos();

    /** The largest part of its time that a request may be expected to wait before it is refused on arrival. */
    private static final double LONGEST_WAIT_SHARE = 0.3;

    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(50);
    private static final int MAXIMUM_WAITING = 2_000;

    private static final Comparator<SlotRequest> BY_RANK =
            Comparator.comparingInt(SlotRequest::rank).thenComparingLong(SlotRequest::arrivedAtNanos);

    private final Region home;
    private final Map<String, EndpointLoad> endpoints = new HashMap<>();
    private final Map<Long, SlotRequest> waiting = new LinkedHashMap<>();
    private final Map<Long, Running> running = new HashMap<>();
    private final DispatchRate rate = new DispatchRate();

    /** Creates a queue without endpoints for an instance in the given region. */
    public SlotQueue(Region home) {
        this.home = home;
    }

    /** Adds a request; it is granted a slot, waits, or is refused. */
    public ImmutableList<SlotDecision> offer(SlotRequest request, long nowNanos) {
        if (endpoints.values().stream().noneMatch(load -> !load.endpoint().leaving())) {
            return ImmutableList.of(new SlotDecision.Refused(
                    request,
                    SlotDecision.Reason.NO_ENDPOINT,
                    Duration.ofMillis(500).toNanos()));
        }
        long wait = expectedWaitNanos(request);
        long patience = (long) (LONGEST_WAIT_SHARE * (request.expiresAtNanos() - nowNanos));
        if (wait > patience || waiting.size() >= MAXIMUM_WAITING) {
            return ImmutableList.of(new SlotDecision.Refused(
                    request, SlotDecision.Reason.QUEUE_TOO_LONG, Math.max(SHORTEST_RETRY_AFTER.toNanos(), wait / 2)));
        }
        waiting.put(request.key(), request);
        return step(nowNanos);
    }

    /** Forgets a waiting request. */
    public void withdraw(long key) {
        waiting.remove(key);
    }

    /** The first part of the answer has arrived. */
    public void answered(long key, long nowNanos) {
        Optional.ofNullable(running.get(key)).ifPresent(entry -> entry.load().answered(entry.request(), nowNanos));
    }

    /** A dispatch has ended, and its slot is free. */
    public ImmutableList<SlotDecision> ended(long key, AnswerOutcome outcome, long nowNanos) {
        Optional.ofNullable(running.remove(key))
                .ifPresent(entry -> entry.load().end(entry.request(), outcome, nowNanos));
        return step(nowNanos);
    }

    /** Replaces the endpoints; what runs on those that are gone still has to end. */
    public ImmutableList<SlotDecision> replaceEndpoints(ImmutableCollection<LiveEndpoint> current, long nowNanos) {
        ImmutableSet<String> ids = current.stream().map(LiveEndpoint::id).collect(ImmutableSet.toImmutableSet());
        endpoints.keySet().retainAll(ids);
        current.forEach(endpoint -> endpoints
                .computeIfAbsent(endpoint.id(), _id -> new EndpointLoad(endpoint, nowNanos))
                .replace(endpoint));
        return step(nowNanos);
    }

    /** Takes over how many requests of other instances each endpoint holds. */
    public ImmutableList<SlotDecision> heldElsewhere(ImmutableMap<String, Integer> counts, long nowNanos) {
        endpoints.forEach((id, load) -> load.heldElsewhere(counts.getOrDefault(id, 0)));
        return step(nowNanos);
    }

    /** Decides what has become due by the passing of time. */
    public ImmutableList<SlotDecision> advance(long nowNanos) {
        return step(nowNanos);
    }

    /** How many requests of this queue each endpoint holds. */
    public ImmutableMap<String, Integer> held() {
        return endpoints.values().stream()
                .filter(load -> load.held() > 0)
                .collect(ImmutableMap.toImmutableMap(load -> load.endpoint().id(), EndpointLoad::held));
    }

    public int waiting() {
        return waiting.size();
    }

    private ImmutableList<SlotDecision> step(long nowNanos) {
        if (waiting.isEmpty()) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<SlotDecision> decisions = ImmutableList.builder();
        inOrder(nowNanos).forEach(request -> decide(request, nowNanos).ifPresent(decision -> {
            waiting.remove(request.key());
            decisions.add(decision);
        }));
        return decisions.build();
    }

    private ImmutableList<SlotRequest> inOrder(long nowNanos) {
        return waiting.values().stream()
                .sorted(Comparator.comparing((SlotRequest request) -> late(request, nowNanos))
                        .thenComparing(BY_RANK))
                .collect(ImmutableList.toImmutableList());
    }

    private static boolean late(SlotRequest request, long nowNanos) {
        return nowNanos - request.onTimeUntilNanos() >= 0;
    }

    private Optional<SlotDecision> decide(SlotRequest request, long nowNanos) {
        if (nowNanos - request.expiresAtNanos() >= 0) {
            return Optional.of(
                    new SlotDecision.Refused(request, SlotDecision.Reason.EXPIRED, SHORTEST_RETRY_AFTER.toNanos()));
        }
        return endpoints.values().stream()
                .filter(load -> load.usable(nowNanos) && load.freeSlots() > 0)
                .filter(load -> !request.excluded().contains(load.endpoint().id()))
                .min(Comparator.comparingLong(load -> cost(load, request, nowNanos)))
                .map(load -> grant(load, request, nowNanos));
    }

    private long cost(EndpointLoad load, SlotRequest request, long nowNanos) {
        boolean away = !load.endpoint().failureDomain().region().equals(home);
        return load.predictedNanos(request)
                + (away ? REGION_ROUND_TRIP_NANOS : 0)
                + (long) (load.failureShare(nowNanos) * FAILURE_PENALTY_NANOS);
    }

    private SlotDecision grant(EndpointLoad load, SlotRequest request, long nowNanos) {
        long predicted = load.predictedNanos(request);
        load.start(request, nowNanos);
        running.put(request.key(), new Running(request, load));
        rate.dispatched(nowNanos);
        return new SlotDecision.Granted(request, load.endpoint(), predicted);
    }

    private long expectedWaitNanos(SlotRequest request) {
        long ahead = waiting.values().stream()
                .filter(other -> other.rank() <= request.rank())
                .count();
        return ahead == 0 ? 0 : rate.nanosFor(ahead);
    }

    private record Running(SlotRequest request, EndpointLoad load) {}
}
