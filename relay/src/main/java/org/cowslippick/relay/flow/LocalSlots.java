package org.cowslippick.relay.flow;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.Region;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.SlotDecision;
import org.cowslippick.scheduler.slot.SlotQueue;
import org.cowslippick.scheduler.slot.SlotRequest;

/** Queues of this instance, one for each service. All calls come from one event loop. */
public final class LocalSlots implements SlotBroker {

    /** How soon a queue notices what changes by time alone, such as an endpoint that may be tried again. */
    private static final Duration STEP_PERIOD = Duration.ofMillis(20);

    private final TimerService timer;
    private final Region home;
    private final Map<ServiceName, SlotQueue> queues = new HashMap<>();
    private final Map<Long, SlotListener> listeners = new HashMap<>();
    private ImmutableListMultimap<ServiceName, LiveEndpoint> endpoints = ImmutableListMultimap.of();

    /** Creates empty queues. */
    public LocalSlots(TimerService timer, Region home) {
        this.timer = timer;
        this.home = home;
        timer.every(STEP_PERIOD, this::advance);
    }

    @Override
    public void ask(ServiceName service, SlotRequest request, SlotListener listener) {
        listeners.put(request.key(), listener);
        tell(queue(service).offer(request, timer.nanoTime()));
    }

    @Override
    public void withdraw(ServiceName service, long key) {
        listeners.remove(key);
        queue(service).withdraw(key);
    }

    @Override
    public void answered(ServiceName service, long key) {
        queue(service).answered(key, timer.nanoTime());
    }

    @Override
    public void ended(ServiceName service, long key, AnswerOutcome outcome) {
        tell(queue(service).ended(key, outcome, timer.nanoTime()));
    }

    /** Takes over the endpoints that registered themselves. */
    public void replaceEndpoints(ImmutableList<LiveEndpoint> current) {
        endpoints = current.stream()
                .collect(ImmutableListMultimap.toImmutableListMultimap(LiveEndpoint::service, endpoint -> endpoint));
        endpoints.keySet().forEach(this::queue);
        queues.forEach((service, queue) -> tell(queue.replaceEndpoints(endpoints.get(service), timer.nanoTime())));
    }

    /** Takes over how many requests of other instances each endpoint holds. */
    public void heldElsewhere(ImmutableMap<String, Integer> counts) {
        queues.values().forEach(queue -> tell(queue.heldElsewhere(counts, timer.nanoTime())));
    }

    /** How many requests of this instance each endpoint holds. */
    public ImmutableMap<String, Integer> held() {
        return queues.values().stream()
                .flatMap(queue -> queue.held().entrySet().stream())
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue, Integer::sum));
    }

    /** How many requests wait. */
    public int waiting() {
        return queues.values().stream().mapToInt(SlotQueue::waiting).sum();
    }

    private void advance() {
        queues.values().forEach(queue -> tell(queue.advance(timer.nanoTime())));
    }

    private SlotQueue queue(ServiceName service) {
        return queues.computeIfAbsent(service, _service -> new SlotQueue(home));
    }

    private void tell(ImmutableList<SlotDecision> decisions) {
        decisions.forEach(decision -> Optional.ofNullable(
                        listeners.remove(decision.request().key()))
                .ifPresent(listener -> tell(decision, listener)));
    }

    private static void tell(SlotDecision decision, SlotListener listener) {
        if (decision instanceof SlotDecision.Granted grant) {
            listener.granted(grant);
        } else if (decision instanceof SlotDecision.Refused refusal) {
            listener.refused(refusal);
        }
    }
}
