package org.cowslippick.relay.slot;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.PoolLoad;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotPool;
import org.cowslippick.scheduler.slot.SlotQueue;
import org.cowslippick.scheduler.slot.SlotRequest;

/** Queues that this instance runs, one for each pool. All calls come from one event loop. */
public final class LocalSlotQueues {

    /** How soon a queue notices what changes by time alone, such as an endpoint that may be tried again. */
    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(20);

    private final TimerService timer;
    private final Map<SlotPool, SlotQueue> queues = new HashMap<>();
    private final Map<SlotKey, SlotListener> listeners = new HashMap<>();
    private boolean isAdvanceScheduled;
    private ImmutableListMultimap<SlotPool, LiveEndpoint> endpoints = ImmutableListMultimap.of();

    /** Creates empty queues. */
    public LocalSlotQueues(TimerService timer) {
        this.timer = timer;
    }

    /** Asks for a slot; the listener is called once, perhaps before this method returns. */
    public void request(SlotPool pool, SlotRequest request, SlotListener listener) {
        listeners.put(request.key(), listener);
        deliver(queue(pool).offer(request, timer.nanoTime()));
        scheduleAdvance();
    }

    /** Takes over a request that another owner granted a slot. */
    public void adopt(SlotPool pool, SlotRequest request, String endpoint) {
        queue(pool).adopt(request, endpoint, timer.nanoTime());
    }

    /** Takes back a request that has not been granted a slot. */
    public void withdraw(SlotPool pool, SlotKey key) {
        listeners.remove(key);
        queue(pool).withdraw(key);
    }

    /** The first part of an answer has arrived. */
    public void responseStarted(SlotPool pool, SlotKey key) {
        queue(pool).answered(key, timer.nanoTime());
    }

    /** A slot is free again. */
    public void release(SlotPool pool, SlotKey key, AnswerOutcome outcome) {
        deliver(queue(pool).ended(key, outcome, timer.nanoTime()));
    }

    /** Forgets all requests of an instance whose process is gone. */
    public void removeInstance(InstanceName instance) {
        listeners.keySet().removeIf(key -> key.instance().equals(instance));
        ImmutableList.copyOf(queues.values()).forEach(queue -> deliver(queue.forget(instance, timer.nanoTime())));
    }

    /** Takes over the endpoints that registered themselves. */
    public void replaceEndpoints(ImmutableList<LiveEndpoint> current) {
        endpoints = current.stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(
                        endpoint -> new SlotPool(
                                endpoint.service(), endpoint.failureDomain().region()),
                        endpoint -> endpoint));
        endpoints.keySet().forEach(this::queue);
        ImmutableMap.copyOf(queues)
                .forEach((pool, queue) -> deliver(queue.replaceEndpoints(endpoints.get(pool), timer.nanoTime())));
    }

    /** The endpoints of a pool. */
    public ImmutableList<LiveEndpoint> endpoints(SlotPool pool) {
        return endpoints.get(pool);
    }

    /** The pools that have endpoints. */
    public ImmutableList<SlotPool> pools() {
        return endpoints.keySet().asList();
    }

    /** How busy a pool is. */
    public PoolLoad load(SlotPool pool) {
        return queue(pool).load(timer.nanoTime());
    }

    /** Keeps isAdvanceScheduled as long as a request waits; a queue without one has nothing to decide. */
    private void scheduleAdvance() {
        if (!isAdvanceScheduled && queues.values().stream().anyMatch(queue -> queue.waiting() > 0)) {
            isAdvanceScheduled = true;
            timer.after(ADVANCE_PERIOD, this::advance);
        }
    }

    private void advance() {
        isAdvanceScheduled = false;
        ImmutableList.copyOf(queues.values()).forEach(queue -> deliver(queue.advance(timer.nanoTime())));
        scheduleAdvance();
    }

    private SlotQueue queue(SlotPool pool) {
        return queues.computeIfAbsent(pool, _pool -> new SlotQueue());
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
