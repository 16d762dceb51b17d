package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.InstanceName;

/**
 * The slots of a pool's endpoints and the requests that wait for one. An endpoint is chosen when a slot is free, not on
 * arrival. Requests that can still be on time go first, by rank; those that cannot fill what is left. When the pool is
 * overloaded this keeps fresh requests on time instead of making all of them late.
 */
public final class SlotQueue {

    /** What one sure failure is worth avoiding, as time to the first token. */
    private static final long FAILURE_PENALTY_NANOS = Duration.ofSeconds(1).toNanos();

    /** What it is worth to avoid an endpoint on which a stream cannot end in time. */
    private static final long TOO_SLOW_PENALTY_NANOS = Duration.ofSeconds(10).toNanos();

    /** What it is worth not to make the streams of an endpoint pause for too long. */
    private static final long PAUSE_PENALTY_NANOS = Duration.ofMillis(500).toNanos();

    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(800);
    private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(4);
    private static final Duration RETRY_AFTER_NO_ENDPOINT = Duration.ofMillis(500);
    private static final int MAXIMUM_WAITING = 2_000;

    private final Map<String, EndpointLoad> endpoints = new HashMap<>();
    private final WaitingLines waiting = new WaitingLines();
    private final Map<SlotKey, Running> running = new HashMap<>();
    private final RefusedRequests refused = new RefusedRequests();
    private final DispatchRate rate = new DispatchRate();

    /** Adds a request; it is granted a slot, waits, or is refused. */
    public ImmutableList<SlotDecision> offer(SlotRequest offered, long nowNanos) {
        SlotRequest request = refused.recognize(offered, nowNanos);
        if (endpoints.values().stream().noneMatch(load -> !load.endpoint().leaving())) {
            return refusal(request, SlotDecision.Reason.NO_ENDPOINT, RETRY_AFTER_NO_ENDPOINT.toNanos());
        }
        long wait = expectedWaitNanos(request, nowNanos);
        boolean onTime = nowNanos + wait + fastestNanos(request, nowNanos) - request.onTimeUntilNanos() <= 0;
        boolean servedLater = request.isCallerRetry() && nowNanos + wait - request.queueDeadlineNanos() < 0;
        if (waiting.size() >= MAXIMUM_WAITING || (wait > 0 && !onTime && !servedLater)) {
            refused.add(request, nowNanos);
            return refusal(request, SlotDecision.Reason.QUEUE_TOO_LONG, bounded(2 * wait));
        }
        waiting.add(request);
        return step(nowNanos);
    }

    /** Forgets a waiting request. */
    public void withdraw(SlotKey key) {
        waiting.remove(key);
    }

    /** The first part of the answer has arrived. */
    public void recordAnswerStart(SlotKey key, long nowNanos) {
        Optional.ofNullable(running.get(key)).ifPresent(entry -> entry.load().answered(entry.request(), nowNanos));
    }

    /** A dispatch has ended, and its slot is free. */
    public ImmutableList<SlotDecision> recordEnd(SlotKey key, AnswerOutcome outcome, long nowNanos) {
        Optional.ofNullable(running.remove(key))
                .ifPresent(entry -> entry.load().end(entry.request(), outcome, nowNanos));
        return step(nowNanos);
    }

    /** Takes over a request that was granted its slot by another owner of this queue. */
    public void adopt(SlotRequest request, String endpoint, long nowNanos) {
        Optional.ofNullable(endpoints.get(endpoint))
                .filter(_load -> !running.containsKey(request.key()))
                .ifPresent(load -> {
                    load.adopt(request, nowNanos);
                    running.put(request.key(), new Running(request, load));
                });
    }

    /** Forgets all requests of an instance whose process is gone. */
    public ImmutableList<SlotDecision> removeInstance(InstanceName instance, long nowNanos) {
        waiting.all()
                .map(SlotRequest::key)
                .filter(key -> key.instance().equals(instance))
                .toList()
                .forEach(waiting::remove);
        ImmutableList.copyOf(running.keySet()).stream()
                .filter(key -> key.instance().equals(instance))
                .map(running::remove)
                .forEach(entry -> entry.load().end(entry.request(), AnswerOutcome.SOUND, nowNanos));
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

    /** Decides what has become due by the passing of time. */
    public ImmutableList<SlotDecision> advance(long nowNanos) {
        if (waiting.isEmpty()) {
            return ImmutableList.of();
        }
        ImmutableList<SlotDecision> expired = waiting.all()
                .filter(request -> nowNanos - request.queueDeadlineNanos() >= 0)
                .map(request ->
                        new SlotDecision.Refused(request, SlotDecision.Reason.EXPIRED, SHORTEST_RETRY_AFTER.toNanos()))
                .collect(ImmutableList.toImmutableList());
        expired.forEach(decision -> {
            waiting.remove(decision.request().key());
            refused.add(decision.request(), nowNanos);
        });
        return Stream.concat(expired.stream(), step(nowNanos).stream()).collect(ImmutableList.toImmutableList());
    }

    /** How busy the pool is. */
    public PoolLoad load(long nowNanos) {
        int free = endpoints.values().stream()
                .filter(load -> load.usable(nowNanos))
                .mapToInt(load -> Math.max(0, load.freeSlots()))
                .sum();
        return new PoolLoad(free, waiting.size());
    }

    public int waitingCount() {
        return waiting.size();
    }

    private ImmutableList<SlotDecision> step(long nowNanos) {
        ImmutableList.Builder<SlotDecision> decisions = ImmutableList.builder();
        Optional<SlotRequest> next = next(nowNanos);
        while (next.isPresent()) {
            decisions.add(grant(next.get(), nowNanos));
            next = next(nowNanos);
        }
        return decisions.build();
    }

    /** The request that gets a slot now, if there is one for it. */
    private Optional<SlotRequest> next(long nowNanos) {
        if (waiting.isEmpty() || !anyOpen(nowNanos)) {
            return Optional.empty();
        }
        waiting.fresh().takeWhile(request -> late(request, nowNanos)).toList().forEach(waiting::markLate);
        return Stream.concat(waiting.fresh(), waiting.late())
                .filter(request -> fits(request, nowNanos))
                .findFirst();
    }

    /** Whether a request has missed its time; whoever came back as told keeps its turn all the same. */
    private boolean late(SlotRequest request, long nowNanos) {
        return !request.isCallerRetry() && nowNanos + fastestNanos(request, nowNanos) - request.onTimeUntilNanos() > 0;
    }

    private boolean anyOpen(long nowNanos) {
        for (EndpointLoad load : endpoints.values()) {
            if (open(load, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private static boolean open(EndpointLoad load, long nowNanos) {
        return load.usable(nowNanos) && load.freeSlots() > 0;
    }

    private boolean fits(SlotRequest request, long nowNanos) {
        return request.excludedEndpoints().isEmpty() || best(request, nowNanos).isPresent();
    }

    /** The least time to the first token that any endpoint could give now. */
    private long fastestNanos(SlotRequest request, long nowNanos) {
        long fastest = Long.MAX_VALUE;
        for (EndpointLoad load : endpoints.values()) {
            if (load.usable(nowNanos)) {
                fastest = Math.min(fastest, load.predictedNanos(request));
            }
        }
        return fastest == Long.MAX_VALUE ? 0 : fastest;
    }

    private Optional<EndpointLoad> best(SlotRequest request, long nowNanos) {
        EndpointLoad best = null;
        long lowest = Long.MAX_VALUE;
        for (EndpointLoad load : endpoints.values()) {
            if (open(load, nowNanos)
                    && !request.excludedEndpoints().contains(load.endpoint().id())) {
                long cost = cost(load, request, nowNanos);
                if (best == null || cost < lowest) {
                    best = load;
                    lowest = cost;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static long cost(EndpointLoad load, SlotRequest request, long nowNanos) {
        long end = nowNanos + load.predictedNanos(request) + load.answerNanos(request);
        return load.predictedNanos(request)
                + (long) (load.failureShare(nowNanos) * FAILURE_PENALTY_NANOS)
                + (end - request.expiresAtNanos() > 0 ? TOO_SLOW_PENALTY_NANOS : 0)
                + (load.pauses(request) ? PAUSE_PENALTY_NANOS : 0);
    }

    private SlotDecision grant(SlotRequest request, long nowNanos) {
        EndpointLoad load = best(request, nowNanos).orElseThrow();
        long predicted = load.predictedNanos(request);
        waiting.remove(request.key());
        load.start(request, nowNanos);
        running.put(request.key(), new Running(request, load));
        rate.dispatched(nowNanos);
        return new SlotDecision.Granted(request, load.endpoint(), predicted);
    }

    /**
     * The expected wait: as long as the slots for those ahead take to come free at the rate of late, and no shorter than
     * the next of the same rank has waited already.
     */
    private long expectedWaitNanos(SlotRequest request, long nowNanos) {
        if (anyOpen(nowNanos)) {
            return 0;
        }
        long waitedSoFar = waiting.firstLike(request)
                .map(first -> nowNanos - first.arrivedAtNanos())
                .orElse(0L);
        return Math.max(waitedSoFar, rate.nanosFor(waiting.ahead(request) + 1L));
    }

    private static ImmutableList<SlotDecision> refusal(
            SlotRequest request, SlotDecision.Reason reason, long retryAfterNanos) {
        return ImmutableList.of(new SlotDecision.Refused(request, reason, retryAfterNanos));
    }

    private static long bounded(long nanos) {
        return Math.max(SHORTEST_RETRY_AFTER.toNanos(), Math.min(nanos, LONGEST_RETRY_AFTER.toNanos()));
    }

    private record Running(SlotRequest request, EndpointLoad load) {}
}
