package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.InstanceName;

/**
 * The slots of a pool's endpoints and the requests that wait for one. An endpoint is chosen when a slot becomes free,
 * not on arrival. Requests that can still be on time go first, by rank; late ones use the remaining slots. Under
 * overload this keeps recent requests on time instead of making all of them late.
 */
public final class SlotQueue {

    /** The cost, as time to first token, of an endpoint whose failure share is 1; proportionally less for others. */
    private static final long FAILURE_PENALTY_NANOS = Duration.ofSeconds(1).toNanos();

    /** The cost of an endpoint on which the answer is not predicted to end in time. */
    private static final long TOO_SLOW_PENALTY_NANOS = Duration.ofSeconds(10).toNanos();

    /** The cost of pausing the streams of an endpoint for too long. */
    private static final long PAUSE_PENALTY_NANOS = Duration.ofMillis(500).toNanos();

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(800);
    private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(4);
    private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofMillis(500);
    private static final int MAXIMUM_WAITING = 2_000;

    /** Later than this after the time of a request, the report of its end has been lost. */
    static final Duration END_REPORT_ALLOWANCE = Duration.ofSeconds(1);

    /** Bounds the work on requests whose time has passed, which is not urgent. */
    private static final long EXPIRY_PERIOD_NANOS = Duration.ofMillis(100).toNanos();

    private final Map<String, EndpointLoad> endpoints = new HashMap<>();
    private final WaitingRequests waiting = new WaitingRequests();
    private final Map<SlotKey, Running> running = new HashMap<>();
    private final RefusedRequests refused = new RefusedRequests();
    private final EndpointNotices notices = new EndpointNotices();
    private final DispatchRate dispatchRate = new DispatchRate();
    private boolean isOwner = true;
    private Optional<Long> expiryCheckedAtNanos = Optional.empty();

    /**
     * Sets whether this instance is the designated owner of the pool. Any other does not use endpoints with a rate limit, as
     * it does not know how many requests they get.
     */
    public void setOwner(boolean owner) {
        isOwner = owner;
    }

    /** Records what an endpoint said about its rate limit. */
    public ImmutableList<SlotDecision> recordRateLimit(String endpoint, EndpointRateLimit limit, long nowNanos) {
        Optional.ofNullable(endpoints.get(endpoint)).ifPresent(load -> load.recordRateLimit(limit, nowNanos));
        return step(nowNanos);
    }

    /**
     * Records what an endpoint said about itself in a response to an instance.
     *
     * @return whether it says anything new
     */
    public boolean recordNotice(LiveEndpoint endpoint, InstanceName instance, EndpointNotice notice) {
        boolean isNew = notices.record(endpoint, instance, notice);
        applyNotices(endpoint);
        return isNew;
    }

    /** What the endpoint said to the instance that forbids to send it a request now; empty if nothing does. */
    public Optional<EndpointNotice> obstacle(LiveEndpoint endpoint, InstanceName instance, long nowNanos) {
        EndpointNotices.Known known = notices.get(endpoint);
        return known.isLeaving()
                ? Optional.of(EndpointNotice.LEAVING)
                : known.pausedUntil(instance)
                        .filter(until -> nowNanos - until < 0)
                        .map(EndpointNotice::pausedUntil);
    }

    private void applyNotices(LiveEndpoint endpoint) {
        Optional.ofNullable(endpoints.get(endpoint.id()))
                .filter(load -> load.endpoint().isSameRun(endpoint))
                .ifPresent(load -> load.setNotices(notices.get(endpoint)));
    }

    /** Offers a request, which is granted a slot, queued or refused. */
    public ImmutableList<SlotDecision> offer(SlotRequest offered, long nowNanos) {
        forgetExpired(nowNanos);
        SlotRequest request = refused.matchRetry(offered, nowNanos);
        if (endpoints.values().stream().allMatch(EndpointLoad::isLeaving)) {
            refused.add(request, nowNanos);
            return refusal(request, SlotDecision.Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER.toNanos());
        }
        long wait = expectedWaitNanos(request, nowNanos);
        long earliest = wait + shortest(load -> load.predictedNanos(request), nowNanos);
        boolean onTime = nowNanos + earliest - request.onTimeUntilNanos() <= 0;
        boolean servedBeforeDeadline = request.isCallerRetry() && nowNanos + wait - request.queueDeadlineNanos() < 0;
        if (waiting.size() >= MAXIMUM_WAITING || (wait > 0 && !onTime && !servedBeforeDeadline)) {
            refused.add(request, nowNanos);
            return refusal(
                    request,
                    SlotDecision.Reason.QUEUE_TOO_LONG,
                    Math.max(boundRetryAfter(2 * wait), pauseNanos(request, nowNanos)));
        }
        waiting.add(request);
        return step(nowNanos);
    }

    /** Removes a waiting request without a decision. */
    public void withdraw(SlotKey key) {
        waiting.remove(key);
    }

    /** Records that the first part of the answer arrived. */
    public void recordAnswerStart(SlotKey key, long nowNanos) {
        Optional.ofNullable(running.get(key)).ifPresent(entry -> {
            entry.load().recordAnswerStart(entry.request(), nowNanos);
            endPause(entry.load(), key.instance(), nowNanos);
        });
    }

    private void endPause(EndpointLoad load, InstanceName instance, long nowNanos) {
        if (load.isPauseOver(instance, nowNanos)) {
            notices.endPause(load.endpoint(), instance);
            load.setNotices(notices.get(load.endpoint()));
        }
    }

    /** Records the end of a dispatch, which frees its slot. */
    public ImmutableList<SlotDecision> recordEnd(SlotKey key, AnswerOutcome outcome, long nowNanos) {
        Optional.ofNullable(running.remove(key))
                .ifPresent(entry -> entry.load().end(entry.request(), outcome, nowNanos));
        return step(nowNanos);
    }

    /** Adds a running request that another owner of this queue granted a slot; repeated calls have no effect. */
    public void adopt(SlotRequest request, String endpoint, long nowNanos) {
        Optional.ofNullable(endpoints.get(endpoint))
                .filter(_load -> !running.containsKey(request.key()))
                .ifPresent(load -> {
                    load.adopt(request, nowNanos);
                    running.put(request.key(), new Running(request, load));
                });
    }

    /** Removes all requests of an instance whose process has ended. */
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

    /** Replaces the endpoints; requests that run on removed endpoints continue until their end is recorded. */
    public ImmutableList<SlotDecision> replaceEndpoints(ImmutableCollection<LiveEndpoint> current, long nowNanos) {
        ImmutableSet<String> ids = current.stream().map(LiveEndpoint::id).collect(ImmutableSet.toImmutableSet());
        endpoints.keySet().retainAll(ids);
        current.forEach(endpoint -> endpoints
                .computeIfAbsent(endpoint.id(), _id -> new EndpointLoad(endpoint, nowNanos))
                .setEndpoint(endpoint));
        current.forEach(this::applyNotices);
        return step(nowNanos);
    }

    /** Refuses requests past their queue deadline and grants slots that became usable as time passed. */
    public ImmutableList<SlotDecision> advance(long nowNanos) {
        if (waiting.isEmpty()) {
            return ImmutableList.of();
        }
        forgetExpired(nowNanos);
        ImmutableList<SlotDecision> expired = waiting.all()
                .filter(request -> nowNanos - request.queueDeadlineNanos() >= 0)
                .map(request ->
                        new SlotDecision.Refused(request, SlotDecision.Reason.EXPIRED, MINIMUM_RETRY_AFTER.toNanos()))
                .collect(ImmutableList.toImmutableList());
        expired.forEach(decision -> {
            waiting.remove(decision.request().key());
            refused.add(decision.request(), nowNanos);
        });
        return Stream.concat(expired.stream(), step(nowNanos).stream()).collect(ImmutableList.toImmutableList());
    }

    public PoolLoad load(long nowNanos) {
        forgetExpired(nowNanos);
        int free = endpoints.values().stream()
                .filter(load -> isOpen(load, nowNanos))
                .mapToInt(load -> load.isRateLimited() ? 1 : load.freeSlots())
                .sum();
        return new PoolLoad(free, waiting.size());
    }

    public int waitingCount() {
        return waiting.size();
    }

    /** Frees the slots of requests that must have ended, though nobody has reported it. */
    private void forgetExpired(long nowNanos) {
        if (expiryCheckedAtNanos
                .filter(checked -> nowNanos - checked < EXPIRY_PERIOD_NANOS)
                .isPresent()) {
            return;
        }
        expiryCheckedAtNanos = Optional.of(nowNanos);
        ImmutableList<Running> expired = running.values().stream()
                .filter(entry -> nowNanos - entry.request().expiresAtNanos() >= END_REPORT_ALLOWANCE.toNanos())
                .collect(ImmutableList.toImmutableList());
        expired.forEach(entry -> {
            running.remove(entry.request().key());
            entry.load().forget(entry.request());
        });
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

    /** Returns the next request that can be granted a slot now. */
    private Optional<SlotRequest> next(long nowNanos) {
        if (waiting.isEmpty() || !hasOpenEndpoint(nowNanos)) {
            return Optional.empty();
        }
        waiting.onTime()
                .takeWhile(request -> isLate(request, nowNanos))
                .toList()
                .forEach(waiting::markLate);
        return Stream.concat(waiting.onTime(), waiting.late())
                .filter(request -> canBePlaced(request, nowNanos))
                .findFirst();
    }

    /** Whether a request can no longer be on time; a caller's retry is never marked late and so keeps its priority. */
    private boolean isLate(SlotRequest request, long nowNanos) {
        return !request.isCallerRetry() && nowNanos + fastestNanos(request, nowNanos) - request.onTimeUntilNanos() > 0;
    }

    private boolean hasOpenEndpoint(long nowNanos) {
        for (EndpointLoad load : endpoints.values()) {
            if (isOpen(load, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private boolean isOpen(EndpointLoad load, long nowNanos) {
        return isAvailable(load, nowNanos) && load.freeSlots() > 0 && load.nanosUntilAllowed(nowNanos) == 0;
    }

    /** Whether this queue may use the endpoint, now or when a slot and its rate limit allow. */
    private boolean isAvailable(EndpointLoad load, long nowNanos) {
        return load.isUsable(nowNanos) && (isOwner || !load.isRateLimited());
    }

    private boolean canBePlaced(SlotRequest request, long nowNanos) {
        return (request.excludedEndpoints().isEmpty() && !notices.hasPauses())
                || cheapest(request, nowNanos).isPresent();
    }

    /** The shortest time to first token on any endpoint, if the request need not wait for a slot. */
    private long fastestNanos(SlotRequest request, long nowNanos) {
        return shortest(load -> load.nanosUntilAllowed(nowNanos) + load.predictedNanos(request), nowNanos);
    }

    private long shortest(ToLongFunction<EndpointLoad> time, long nowNanos) {
        long shortest = Long.MAX_VALUE;
        for (EndpointLoad load : endpoints.values()) {
            if (isAvailable(load, nowNanos)) {
                shortest = Math.min(shortest, time.applyAsLong(load));
            }
        }
        return shortest == Long.MAX_VALUE ? 0 : shortest;
    }

    private Optional<EndpointLoad> cheapest(SlotRequest request, long nowNanos) {
        EndpointLoad cheapest = null;
        long lowestCost = Long.MAX_VALUE;
        for (EndpointLoad load : endpoints.values()) {
            if (isOpen(load, nowNanos)
                    && load.accepts(request.key().instance(), nowNanos)
                    && !request.excludedEndpoints().contains(load.endpoint().id())) {
                long cost = cost(load, request, nowNanos);
                if (cheapest == null || cost < lowestCost) {
                    cheapest = load;
                    lowestCost = cost;
                }
            }
        }
        return Optional.ofNullable(cheapest);
    }

    private static long cost(EndpointLoad load, SlotRequest request, long nowNanos) {
        long end = nowNanos + load.predictedNanos(request) + load.answerNanos(request);
        return load.predictedNanos(request)
                + (long) (load.failureShare(nowNanos) * FAILURE_PENALTY_NANOS)
                + (end - request.expiresAtNanos() > 0 ? TOO_SLOW_PENALTY_NANOS : 0)
                + (load.wouldPauseStreams(request) ? PAUSE_PENALTY_NANOS : 0);
    }

    private SlotDecision grant(SlotRequest request, long nowNanos) {
        EndpointLoad load = cheapest(request, nowNanos).orElseThrow();
        long predicted = load.predictedNanos(request);
        waiting.remove(request.key());
        load.start(request, nowNanos);
        running.put(request.key(), new Running(request, load));
        dispatchRate.recordDispatch(nowNanos);
        return new SlotDecision.Granted(request, load.endpoint(), predicted, load.rateLimit());
    }

    /**
     * The expected wait: the time to dispatch the requests ahead at the recent dispatch rate, and at least as long as
     * the first request of the same urgency has waited already and as the rate limits of the endpoints require.
     */
    private long expectedWaitNanos(SlotRequest request, long nowNanos) {
        if (isAnyOpenTo(request, nowNanos)) {
            return 0;
        }
        long waitedSoFar = waiting.firstOfSameUrgency(request)
                .map(first -> nowNanos - first.arrivedAtNanos())
                .orElse(0L);
        int ahead = waiting.countAhead(request);
        return LongStream.of(
                        waitedSoFar,
                        dispatchRate.expectedNanos(ahead + 1L),
                        rateLimitedWaitNanos(ahead, nowNanos),
                        pauseNanos(request, nowNanos))
                .max()
                .getAsLong();
    }

    private boolean isAnyOpenTo(SlotRequest request, long nowNanos) {
        return endpoints.values().stream()
                .anyMatch(load ->
                        isOpen(load, nowNanos) && load.accepts(request.key().instance(), nowNanos));
    }

    /** The time until the first endpoint wants requests from the instance again; 0 if one does already. */
    private long pauseNanos(SlotRequest request, long nowNanos) {
        return shortest(load -> load.nanosUntilAccepted(request.key().instance(), nowNanos), nowNanos);
    }

    /** The wait for the rate limits if all available endpoints have one; the recent dispatch rate may be higher. */
    private long rateLimitedWaitNanos(int ahead, long nowNanos) {
        ImmutableList<EndpointLoad> available = endpoints.values().stream()
                .filter(load -> isAvailable(load, nowNanos))
                .collect(ImmutableList.toImmutableList());
        if (available.isEmpty() || !available.stream().allMatch(EndpointLoad::isRateLimited)) {
            return 0;
        }
        double requestsPerSecond =
                available.stream().mapToDouble(EndpointLoad::requestsPerSecond).sum();
        long soonest = available.stream()
                .mapToLong(load -> load.nanosUntilAllowed(nowNanos))
                .min()
                .getAsLong();
        return soonest
                + (long) (ahead / requestsPerSecond * Duration.ofSeconds(1).toNanos());
    }

    private static ImmutableList<SlotDecision> refusal(
            SlotRequest request, SlotDecision.Reason reason, long retryAfterNanos) {
        return ImmutableList.of(new SlotDecision.Refused(request, reason, retryAfterNanos));
    }

    private static long boundRetryAfter(long nanos) {
        return Math.max(MINIMUM_RETRY_AFTER.toNanos(), Math.min(nanos, MAXIMUM_RETRY_AFTER.toNanos()));
    }

    private record Running(SlotRequest request, EndpointLoad load) {}
}
