package org.cowslippick.scheduler.slot;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.scheduler.engine.SpeedEstimate;
import org.cowslippick.scheduler.rollout.VersionGate;
import org.cowslippick.scheduler.stream.StreamOrigin;

/**
 * The slots of a pool's endpoints and the requests that wait for one. An endpoint is chosen when a slot becomes free,
 * not on arrival. Requests that can still be on time go first, by rank; late ones use the remaining slots. Under
 * overload this keeps recent requests on time instead of making all of them late.
 */
public final class SlotQueue {

    static final int MAXIMUM_WAITING = 2_000;

    /** Later than this after the time of a request, the report of its end has been lost. */
    static final Duration END_REPORT_ALLOWANCE = Duration.ofSeconds(1);

    /** Bounds the work on requests whose time has passed, which is not urgent. */
    private static final long EXPIRY_PERIOD_NANOS = Duration.ofMillis(100).toNanos();

    private final EndpointPool endpoints = new EndpointPool();
    private final WaitingRequests waiting = new WaitingRequests();
    private final Map<SlotKey, Running> running = new HashMap<>();
    private final Refusals refusals = new Refusals();
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

    /** Sets the tokens that each engine of the pool can hold; 0 if unknown. */
    public void setMemoryTokens(long tokens) {
        endpoints.setMemoryTokens(tokens);
    }

    /** Sets how long after its last use an endpoint is expected to keep a part of a prompt; by default not at all. */
    public void setPromptReuseWindow(long nanos) {
        endpoints.setPromptReuseWindow(nanos);
    }

    /** Records what a response of an endpoint said about the present load of its machine. */
    public void recordMachineLoad(SlotKey key, double percent, long asOfNanos) {
        Optional.ofNullable(running.get(key))
                .ifPresent(entry -> entry.load().speed().recordMachineLoad(percent, asOfNanos));
    }

    /** Takes over the speed that the pool's present owner assumes of an endpoint. */
    public void replaceSpeed(String endpoint, SpeedEstimate estimate) {
        endpoints.get(endpoint).ifPresent(load -> load.speed().replaceBy(estimate));
    }

    /** Takes over the speed that a former owner assumed of an endpoint, unless this owner has observed it. */
    public void inheritSpeed(String endpoint, SpeedEstimate estimate) {
        endpoints.get(endpoint).ifPresent(load -> load.speed().inherit(estimate));
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
        SlotRequest request = refusals.matchRetry(offered, nowNanos).withPrecedenceOfResumption();
        recordForVersions(request);
        if (endpoints.isWithoutTakers(request, nowNanos)) {
            return ImmutableList.of(refusals.noEndpoint(request, nowNanos));
        }
        long wait = expectedWaitNanos(request, nowNanos);
        if (wait > 0 && !isWorthQueueing(request, wait, nowNanos)) {
            return ImmutableList.of(refuseForLength(request, wait, nowNanos));
        }
        if (waiting.size() < MAXIMUM_WAITING) {
            waiting.add(request);
            return step(nowNanos);
        }
        return waiting.replaceableBy(request)
                .map(given -> replace(given, request, nowNanos))
                .orElseGet(() -> ImmutableList.of(refuseForLength(request, wait, nowNanos)));
    }

    /** Refuses a waiting request in favour of a new one, as the queue is full. */
    private ImmutableList<SlotDecision> replace(SlotRequest given, SlotRequest request, long nowNanos) {
        waiting.remove(given.key());
        waiting.add(request);
        SlotDecision refusal = refuseForLength(given, expectedWaitNanos(given, nowNanos), nowNanos);
        return Stream.concat(Stream.of(refusal), step(nowNanos).stream()).collect(ImmutableList.toImmutableList());
    }

    /**
     * Whether a request that must wait can be on time, or is a caller's retry that is served before its caller disconnects. A
     * retry that would wait in vain is refused at once.
     */
    private boolean isWorthQueueing(SlotRequest request, long waitNanos, long nowNanos) {
        boolean retryServed = request.isCallerRetry() && nowNanos + waitNanos - request.queueDeadlineNanos() < 0;
        return retryServed || endpoints.canBeOnTime(request, waitNanos, nowNanos);
    }

    private SlotDecision refuseForLength(SlotRequest request, long waitNanos, long nowNanos) {
        return refusals.queueTooLong(
                request, waitNanos, endpoints.pauseNanos(request, nowNanos), dispatchRate.expectedNanos(1), nowNanos);
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

    /** The origin of the stream that a running request begins or resumes; empty if it cannot be resumed. */
    public Optional<StreamOrigin> origin(SlotKey key) {
        return Optional.ofNullable(running.get(key)).flatMap(SlotQueue::origin);
    }

    private static Optional<StreamOrigin> origin(Running entry) {
        LiveEndpoint endpoint = entry.endpoint();
        return entry.request().stream().stream().stream()
                .mapToObj(stream -> new StreamOrigin(endpoint.service(), stream, endpoint.softwareVersion()))
                .findFirst();
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
                    running.put(request.key(), new Running(request, load, load.endpoint()));
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
                .map(request -> refusals.expired(request, dispatchRate.expectedNanos(1), nowNanos))
                .collect(ImmutableList.toImmutableList());
        expired.forEach(decision -> waiting.remove(decision.request().key()));
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
        Optional<Placement> next = next(nowNanos);
        while (next.isPresent()) {
            decisions.add(grant(next.get(), nowNanos));
            next = next(nowNanos);
        }
        return decisions.build();
    }

    /** Returns the next request that can be granted a slot now, and the endpoint. */
    private Optional<Placement> next(long nowNanos) {
        if (waiting.isEmpty() || !endpoints.hasOpen(nowNanos)) {
            return Optional.empty();
        }
        Optional<SlotRequest> first = waiting.firstOnTime();
        while (first.filter(request -> isLate(request, nowNanos)).isPresent()) {
            waiting.markLate(first.get());
            first = waiting.firstOnTime();
        }
        return waiting.first(request -> place(request, nowNanos));
    }

    private Optional<Placement> place(SlotRequest request, long nowNanos) {
        return endpoints.cheapest(request, nowNanos).map(load -> new Placement(request, load));
    }

    /** Whether a request can no longer be on time; a caller's retry is never marked late and so keeps its priority. */
    private boolean isLate(SlotRequest request, long nowNanos) {
        return !request.isCallerRetry() && !endpoints.canBeOnTime(request, 0, nowNanos);
    }

    private SlotDecision grant(Placement placement, long nowNanos) {
        SlotRequest request = placement.request();
        EndpointLoad load = placement.load();
        long predicted = load.predictedNanos(request, nowNanos);
        long keptTokens = load.keptTokens(request, nowNanos);
        waiting.take(request, nowNanos);
        load.start(request, nowNanos);
        versions()
                .recordStart(request.key(), load.endpoint(), request.routeKey(), EndpointLoad.work(request), nowNanos);
        running.put(request.key(), new Running(request, load, load.endpoint()));
        dispatchRate.recordDispatch(nowNanos);
        refusals.recordDispatch(request);
        return new SlotDecision.Granted(
                request,
                load.endpoint(),
                predicted,
                keptTokens,
                load.rateLimit(),
                load.speed().estimate());
    }

    /**
     * The expected wait: the time to dispatch the requests ahead at the recent dispatch rate, and at least as long as
     * the first request of the same urgency and organisation has waited already and as the rate limits of the endpoints require.
     */
    private long expectedWaitNanos(SlotRequest request, long nowNanos) {
        if (endpoints.isAnyOpenTo(request, nowNanos)) {
            return 0;
        }
        int ahead = request.isCallerRetry() ? waiting.countAheadOfRetry(request) : waiting.countAhead(request);
        return LongStream.of(
                        waiting.waitedNanos(request, nowNanos),
                        dispatchRate.expectedNanos(ahead + 1L),
                        endpoints.rateLimitedWaitNanos(ahead, nowNanos),
                        endpoints.pauseNanos(request, nowNanos))
                .max()
                .getAsLong();
    }

    private record Placement(SlotRequest request, EndpointLoad load) {}

    /**
     * A request that holds a slot.
     *
     * @param endpoint the run that it was granted; the load may be that of a later run of the same name by now
     */
    private record Running(SlotRequest request, EndpointLoad load, LiveEndpoint endpoint) {}
}
