package org.cowslippick.core.timeline;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Optional;
import org.cowslippick.core.request.RequestId;
import org.cowslippick.core.time.TimerService;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.core.world.InstanceName;
import org.cowslippick.core.world.OrganisationName;

/** A ring buffer of the events of one process, ordered by a Lamport clock (Lamport 1978). */
public final class Timeline {

    private final InstanceName instance;
    private final TimerService timer;
    private final int capacity;
    private final ArrayDeque<TimelineEvent> events = new ArrayDeque<>();
    private long logicalTime;

    /** Creates an empty timeline that retains the newest {@code capacity} events. */
    public Timeline(InstanceName instance, TimerService timer, int capacity) {
        this.instance = instance;
        this.timer = timer;
        this.capacity = capacity;
    }

    /** Records an event about a request. */
    public void record(
            EventKind kind,
            RequestId request,
            Optional<EndpointName> endpoint,
            OrganisationName organisation,
            String detail) {
        append(kind, Optional.of(request), endpoint, Optional.of(organisation), detail);
    }

    /** Records an event about an endpoint. */
    public void record(EventKind kind, EndpointName endpoint, String detail) {
        append(kind, Optional.empty(), Optional.of(endpoint), Optional.empty(), detail);
    }

    /** Records an event about the entry itself. */
    public void record(EventKind kind, String detail) {
        append(kind, Optional.empty(), Optional.empty(), Optional.empty(), detail);
    }

    /** Returns the clock value to attach to an outgoing message. */
    public synchronized long logicalTime() {
        return logicalTime;
    }

    /** Advances the clock to that of a received message, so that later events have a higher value. */
    public synchronized void observeLogicalTime(long received) {
        logicalTime = Math.max(logicalTime, received);
    }

    /** Returns the retained events, oldest first. */
    public synchronized ImmutableList<TimelineEvent> events() {
        return ImmutableList.copyOf(events);
    }

    private synchronized void append(
            EventKind kind,
            Optional<RequestId> request,
            Optional<EndpointName> endpoint,
            Optional<OrganisationName> organisation,
            String detail) {
        logicalTime++;
        if (events.size() == capacity) {
            events.removeFirst();
        }
        events.addLast(
                new TimelineEvent(instance, logicalTime, timer.now(), kind, request, endpoint, organisation, detail));
    }
}
