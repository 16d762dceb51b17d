package org.cowslippick.relay.slot;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.engine.SpeedEstimate;
import org.cowslippick.scheduler.rollout.RolloutPlan;
import org.cowslippick.scheduler.rollout.RolloutTotals;
import org.cowslippick.scheduler.rollout.VersionGate;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.cowslippick.scheduler.slot.EndpointRateLimit;
import org.cowslippick.scheduler.slot.PoolLoad;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotQueue;
import org.cowslippick.scheduler.slot.SlotRequest;
import org.cowslippick.scheduler.stream.StreamOrigin;
import org.cowslippick.scheduler.stream.StreamTerms;

/** The slot queues that run on this instance, one per pool. All methods must be called on one event loop. */
public final class LocalSlotQueues {

    /** Delay within which a queue acts on changes caused by time alone, such as an endpoint that may be retried. */
    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(20);

    private final TimerService timer;
    private final Map<SlotPool, SlotQueue> queues = new HashMap<>();
    private final Map<SlotKey, SlotListener> listeners = new HashMap<>();
    private final VersionPlans versionPlans = new VersionPlans();
    private Consumer<StreamOrigin> originListener = _origin -> {};
    private Predicate<SlotPool> owns = _pool -> true;
    private ToLongFunction<ServiceName> memoryTokens = _service -> 0;
    private Duration promptReuseWindow = Duration.ZERO;
    private boolean advanceScheduled;
    private ImmutableListMultimap<SlotPool, LiveEndpoint> endpoints = ImmutableListMultimap.of();

    public LocalSlotQueues(TimerService timer) {
        this.timer = timer;
    }

    /** Sets which pools this instance owns; by default all. */
    public void setOwnership(Predicate<SlotPool> ownership) {
        owns = ownership;
    }

    /** Sets the tokens that each engine of a service can hold, 0 if unknown; by default unknown for all. */
    public void setMemory(ToLongFunction<ServiceName> memory) {
        memoryTokens = memory;
    }

    /** Sets how long after its last use an endpoint is expected to keep a part of a prompt; by default not at all. */
    public void setPromptReuseWindow(Duration window) {
        promptReuseWindow = window;
    }

    /** Sets what is called with the origin of each stream whose slot these queues granted. */
    public void setOriginListener(Consumer<StreamOrigin> listener) {
        originListener = listener;
    }

    /** Records what a response of an endpoint said about the present load of its machine. */
    public void recordMachineLoad(SlotPool pool, SlotKey key, double percent, long asOfNanos) {
        queue(pool).recordMachineLoad(key, percent, asOfNanos);
    }

    /** Takes over the speed that the pool's present owner assumes of an endpoint. */
    public void replaceSpeed(SlotPool pool, String endpoint, SpeedEstimate estimate) {
        queue(pool).replaceSpeed(endpoint, estimate);
    }

    /** Takes over the speed that a former owner assumed of an endpoint, unless it is known here. */
    public void inheritSpeed(SlotPool pool, String endpoint, SpeedEstimate estimate) {
        queue(pool).inheritSpeed(endpoint, estimate);
    }

    /** Makes the queues count responses by version and apply the plans of roll-outs. */
    public void enableRollouts() {
        versionPlans.enable();
        queues.forEach((pool, queue) -> versionPlans.addTo(pool.service(), queue.versions(), timer.nanoTime()));
    }

    /**
     * Records versions of a service that had served when this process started. They are not held back like new ones, unless
     * the store holds the order of a roll-out for the service.
     */
    public void addEstablishedVersions(ServiceName service, ImmutableSet<String> versions) {
        versionPlans.addEstablished(service, versions);
        applyEstablished();
    }

    /** Records the services of which the store holds the order of a roll-out. */
    public void setOrderedServices(ImmutableSet<ServiceName> services) {
        versionPlans.setOrderedServices(services);
        applyEstablished();
    }

    private void applyEstablished() {
        queues.forEach((pool, queue) -> queue.versions().addEstablished(versionPlans.established(pool.service())));
        ImmutableList.copyOf(queues.keySet())
                .forEach(pool -> deliver(queue(pool).advance(timer.nanoTime())));
    }

    /** Applies the plan of a roll-out, unless it is older than the one in force; returns whether it is new. */
    public boolean applyPlan(RolloutPlan plan) {
        return versionPlans.apply(plan, versions(plan.service()), timer.nanoTime());
    }

    /** The plan of the service's roll-out, if any. */
    public Optional<RolloutPlan> plan(ServiceName service) {
        return versionPlans.plan(service);
    }

    /** What the queues of the service have counted since the order of its roll-out. */
    public RolloutTotals versionTotals(ServiceName service) {
        return VersionPlans.totals(versions(service));
    }

    /** What all queues have counted since the orders of their roll-outs. */
    public RolloutTotals versionTotals() {
        return VersionPlans.totals(queues.values().stream()
                .map(SlotQueue::versions)
                .filter(gate -> gate.plan().isPresent())
                .collect(ImmutableList.toImmutableList()));
    }

    private ImmutableList<VersionGate> versions(ServiceName service) {
        return queues.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service))
                .map(entry -> entry.getValue().versions())
                .collect(ImmutableList.toImmutableList());
    }

    /** Records what an endpoint of the pool said about its rate limit. */
    public void recordRateLimit(SlotPool pool, String endpoint, EndpointRateLimit limit) {
        deliver(queue(pool).recordRateLimit(endpoint, limit, timer.nanoTime()));
    }

    /**
     * Records what an endpoint said about itself in a response to an instance.
     *
     * @return whether it says anything new
     */
    public boolean recordNotice(LiveEndpoint endpoint, InstanceName instance, EndpointNotice notice) {
        return queue(SlotPool.of(endpoint)).recordNotice(endpoint, instance, notice);
    }

    /** What the endpoint said to the instance that forbids to send it a request now. */
    public Optional<EndpointNotice> obstacle(LiveEndpoint endpoint, InstanceName instance) {
        return queue(SlotPool.of(endpoint)).obstacle(endpoint, instance, timer.nanoTime());
    }

    /** Requests a slot; the listener is called once, possibly before this method returns. */
    public void request(SlotPool pool, SlotRequest request, SlotListener listener) {
        listeners.put(request.key(), listener);
        deliver(queue(pool).offer(request, timer.nanoTime()));
        scheduleAdvance();
    }

    /** Takes over a request that was granted its slot by another owner. */
    public void adopt(SlotPool pool, SlotRequest request, String endpoint) {
        queue(pool).adopt(request, endpoint, timer.nanoTime());
    }

    /** Cancels a request that has not been granted a slot. */
    public void withdraw(SlotPool pool, SlotKey key) {
        listeners.remove(key);
        queue(pool).withdraw(key);
    }

    /** Reports that the first part of the response has arrived. */
    public void responseStarted(SlotPool pool, SlotKey key) {
        queue(pool).recordAnswerStart(key, timer.nanoTime());
    }

    /** Passes on the origin of the stream that has begun with the slot, if it can be resumed. */
    public void reportOrigin(SlotPool pool, SlotKey key) {
        queue(pool).origin(key).ifPresent(originListener);
    }

    /** Releases a slot after a dispatch with the given outcome. */
    public void release(SlotPool pool, SlotKey key, AnswerOutcome outcome) {
        deliver(queue(pool).recordEnd(key, outcome, timer.nanoTime()));
    }

    /** Removes all requests of an instance whose process has ended. */
    public void removeInstance(InstanceName instance) {
        listeners.keySet().removeIf(key -> key.instance().equals(instance));
        ImmutableList.copyOf(queues.keySet())
                .forEach(pool -> deliver(queue(pool).removeInstance(instance, timer.nanoTime())));
    }

    /** Replaces the registered endpoints. */
    public void replaceEndpoints(ImmutableList<LiveEndpoint> current) {
        endpoints = current.stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(SlotPool::of, endpoint -> endpoint));
        endpoints.keySet().forEach(this::queue);
        ImmutableList.copyOf(queues.keySet())
                .forEach(pool -> deliver(queue(pool).replaceEndpoints(endpoints.get(pool), timer.nanoTime())));
    }

    public ImmutableList<LiveEndpoint> endpoints(SlotPool pool) {
        return endpoints.get(pool);
    }

    /** The pools that have endpoints. */
    public ImmutableList<SlotPool> pools() {
        return endpoints.keySet().asList();
    }

    /** The pools that have an endpoint for a request with the terms, or all if none has. */
    public ImmutableList<SlotPool> pools(StreamTerms terms) {
        ImmutableList<SlotPool> allowed = pools().stream()
                .filter(pool -> !terms.isResumption()
                        || endpoints.get(pool).stream()
                                .anyMatch(endpoint -> !endpoint.leaving() && terms.allows(endpoint)))
                .collect(ImmutableList.toImmutableList());
        return allowed.isEmpty() ? pools() : allowed;
    }

    public PoolLoad load(SlotPool pool) {
        return queue(pool).load(timer.nanoTime());
    }

    /** The load of all queues of this instance together. */
    public PoolLoad totalLoad() {
        return queues.keySet().stream()
                .map(this::load)
                .reduce(
                        new PoolLoad(0, 0),
                        (one, other) ->
                                new PoolLoad(one.freeSlots() + other.freeSlots(), one.waiting() + other.waiting()));
    }

    /** Advances the queues periodically only while a request waits; an empty queue has nothing to decide. */
    private void scheduleAdvance() {
        if (!advanceScheduled && queues.values().stream().anyMatch(queue -> queue.waitingCount() > 0)) {
            advanceScheduled = true;
            timer.schedule(ADVANCE_PERIOD, this::advance);
        }
    }

    private void advance() {
        advanceScheduled = false;
        ImmutableList.copyOf(queues.keySet())
                .forEach(pool -> deliver(queue(pool).advance(timer.nanoTime())));
        scheduleAdvance();
    }

    private SlotQueue queue(SlotPool pool) {
        SlotQueue queue = queues.computeIfAbsent(pool, this::newQueue);
        queue.setOwner(owns.test(pool));
        queue.setMemoryTokens(memoryTokens.applyAsLong(pool.service()));
        queue.setPromptReuseWindow(promptReuseWindow.toNanos());
        return queue;
    }

    private SlotQueue newQueue(SlotPool pool) {
        SlotQueue queue = new SlotQueue();
        versionPlans.addTo(pool.service(), queue.versions(), timer.nanoTime());
        return queue;
    }

    private void deliver(ImmutableList<SlotDecision> decisions) {
        decisions.forEach(decision -> Optional.ofNullable(
                        listeners.remove(decision.request().key()))
                .ifPresent(listener -> deliver(decision, listener)));
    }

    private static void deliver(SlotDecision decision, SlotListener listener) {
        if (decision instanceof SlotDecision.Granted grant) {
            listener.granted(grant);
        } else if (decision instanceof SlotDecision.Refused refusal) {
            listener.refused(refusal);
        }
    }
}
