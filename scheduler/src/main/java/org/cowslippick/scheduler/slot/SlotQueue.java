package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.scheduler.rollout.VersionGate;

/**
 * The slots of a pool's endpoints and the requests that wait for one. An endpoint is chosen when a slot becomes free,
 * not on arrival. Requests that can still be on time go first, by rank; late ones use the remaining slots. Under
 * overload this keeps recent requests on time instead of making all of them late.
 */
public final class SlotQueue {

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(800);
    private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(4);
    private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofMillis(500);
    private static final int MAXIMUM_WAITING = 2_000;

    /** Later than this after the time of a request, the report of its end has been lost. */
    static final Duration END_REPORT_ALLOWANCE = Duration.ofSeconds(1);

    /** Bounds the work on requests whose time has passed, which is not urgent. */
    private static final long EXPIRY_PERIOD_NANOS = Duration.ofMillis(100).toNanos();

    private final EndpointPool endpoints = new EndpointPool();
    private final WaitingRequests waiting = new WaitingRequests();
    private final Map<SlotKey, Running> running = new HashMap<>();
    private final RefusedRequests refused = new RefusedRequests();
    private final EndpointNotices notices = new EndpointNotices();
    private final DispatchRate dispatchRate = new DispatchRate();
    private Optional<Long> expiryCheckedAtNanos = Optional.empty();

    /**
     * Sets whether this instance is the designated owner of the pool. Any other does not use endpoints with a rate limit, as
     * it does not know how many requests they get.
     */
    public void setOwner(boolean owner) {
        endpoints.setOwner(owner);
    }

    /** Which versions requests may use during a roll-out. */
    public VersionGate versions() {
        return endpoints.versions();
    }

    /** Records what an endpoint said about its rate limit. */
    public ImmutableList<SlotDecision> recordRateLimit(String endpoint, EndpointRateLimit limit, long nowNanos) {
        endpoints.get(endpoint).ifPresent(load -> load.recordRateLimit(limit, nowNanos));
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
        endpoints
                .get(endpoint.id())
                .filter(load -> load.endpoint().isSameRun(endpoint))
                .ifPresent(load -> load.setNotices(notices.get(endpoint)));
    }

    /** Offers a request, which is granted a slot, queued or refused. */
    public ImmutableList<SlotDecision> offer(SlotRequest offered, long nowNanos) {
        forgetExpired(nowNanos);
        SlotRequest request = refused.matchRetry(offered, nowNanos);
        recordForVersions(request);
        if (endpoints.isWithoutTakers()) {
            refused.add(request, nowNanos);
            return refusal(request, SlotDecision.Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER.toNanos());
        }
        long wait = expectedWaitNanos(request, nowNanos);
        long earliest = wait + endpoints.shortest(load -> load.predictedNanos(request), nowNanos);
        boolean onTime = nowNanos + earliest - request.onTimeUntilNanos() <= 0;
        boolean servedBeforeDeadline = request.isCallerRetry() && nowNanos + wait - request.queueDeadlineNanos() < 0;
        if (waiting.size() >= MAXIMUM_WAITING || (wait > 0 && !onTime && !servedBeforeDeadline)) {
            refused.add(request, nowNanos);
            return refusal(
                    request,
                    SlotDecision.Reason.QUEUE_TOO_LONG,
                    Math.max(boundRetryAfter(2 * wait), endpoints.pauseNanos(request, nowNanos)));
        }
        waiting.add(request);
        return step(nowNanos);
    }

    /** Counts each attempt of a caller once, however many endpoints it is sent to. */
    private void recordForVersions(SlotRequest request) {
        if (request.excludedEndpoints().isEmpty()) {
            versions().recordRequest(request.routeKey());
        }
    }

    /** Removes a waiting request without a decision. */
    public void withdraw(SlotKey key) {
        waiting.remove(key);
    }

    /** Records that the first part of the answer arrived. */
    public void recordAnswerStart(SlotKey key, long nowNanos) {
        versions().recordAnswerStart(key, nowNanos);
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
        Optional.ofNullable(running.remove(key)).ifPresent(entry -> {
            entry.load().end(entry.request(), outcome, nowNanos);
            versions()
                    .recordEnd(
                            key,
                            outcome.failureWeight() > 0,
                            outcome != AnswerOutcome.UNREACHABLE,
                            entry.request().answerTokens(),
                            nowNanos);
        });
        return step(nowNanos);
    }

    /** Adds a running request that another owner of this queue granted a slot; repeated calls have no effect. */
    public void adopt(SlotRequest request, String endpoint, long nowNanos) {
        endpoints
                .get(endpoint)
                .filter(_load -> !running.containsKey(request.key()))
                .ifPresent(load -> {
                    load.adopt(request, nowNanos);
                    versions().adopt(request.key(), load.endpoint(), request.routeKey());
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
                .forEach(entry -> {
                    entry.load().end(entry.request(), AnswerOutcome.SOUND, nowNanos);
                    versions().recordEnd(entry.request().key(), false, false, 0, nowNanos);
                });
        return step(nowNanos);
    }

    /** Replaces the endpoints; requests that run on removed endpoints continue until their end is recorded. */
    public ImmutableList<SlotDecision> replaceEndpoints(ImmutableCollection<LiveEndpoint> current, long nowNanos) {
        endpoints.replace(current, nowNanos);
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
        return new PoolLoad(endpoints.freeSlots(nowNanos), waiting.size());
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
            versions().recordEnd(entry.request().key(), false, false, 0, nowNanos);
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
        if (waiting.isEmpty() || !endpoints.hasOpen(nowNanos)) {
            return Optional.empty();
        }
        waiting.onTime()
                .takeWhile(request -> isLate(request, nowNanos))
                .toList()
                .forEach(waiting::markLate);
        ImmutableSet<VersionGate.Choice> placeable = endpoints.placeable(nowNanos);
        return Stream.concat(waiting.onTime(), waiting.late())
                .filter(request -> canBePlaced(request, placeable, nowNanos))
                .findFirst();
    }

    /** Whether a request can no longer be on time; a caller's retry is never marked late and so keeps its priority. */
    private boolean isLate(SlotRequest request, long nowNanos) {
        return !request.isCallerRetry()
                && nowNanos + endpoints.fastestNanos(request, nowNanos) - request.onTimeUntilNanos() > 0;
    }

    private boolean canBePlaced(SlotRequest request, ImmutableSet<VersionGate.Choice> placeable, long nowNanos) {
        return (request.excludedEndpoints().isEmpty() && !notices.hasPauses())
                ? placeable.contains(endpoints.choice(request, nowNanos))
                : endpoints.cheapest(request, nowNanos).isPresent();
    }

    private SlotDecision grant(SlotRequest request, long nowNanos) {
        EndpointLoad load = endpoints.cheapest(request, nowNanos).orElseThrow();
        long predicted = load.predictedNanos(request);
        waiting.remove(request.key());
        load.start(request, nowNanos);
        versions()
                .recordStart(request.key(), load.endpoint(), request.routeKey(), EndpointLoad.work(request), nowNanos);
        running.put(request.key(), new Running(request, load));
        dispatchRate.recordDispatch(nowNanos);
        return new SlotDecision.Granted(request, load.endpoint(), predicted, load.rateLimit());
    }

    /**
     * The expected wait: the time to dispatch the requests ahead at the recent dispatch rate, and at least as long as
     * the first request of the same urgency has waited already and as the rate limits of the endpoints require.
     */
    private long expectedWaitNanos(SlotRequest request, long nowNanos) {
        if (endpoints.isAnyOpenTo(request, nowNanos)) {
            return 0;
        }
        long waitedSoFar = waiting.firstOfSameUrgency(request)
                .map(first -> nowNanos - first.arrivedAtNanos())
                .orElse(0L);
        int ahead = waiting.countAhead(request);
        return LongStream.of(
                        waitedSoFar,
                        dispatchRate.expectedNanos(ahead + 1L),
                        endpoints.rateLimitedWaitNanos(ahead, nowNanos),
                        endpoints.pauseNanos(request, nowNanos))
                .max()
                .getAsLong();
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
