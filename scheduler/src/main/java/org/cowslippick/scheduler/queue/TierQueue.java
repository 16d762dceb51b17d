package org.cowslippick.scheduler.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.cowslippick.core.world.OrganisationName;

/**
 * The waiting requests of one tier. The organisation that was served the fewest tokens goes first; the counter of an
 * organisation that becomes active again is raised to the tier's virtual time, as in "Fairness in Serving Large
 * Language Models" (VTC), Sheng et al. 2024. Requests that can no longer meet their first-token target go after those
 * that can, so that an overloaded tier does not make all of its requests late, but get every
 * {@value #LATE_DISPATCH_INTERVAL}th dispatch.
 */
final class TierQueue {

    private static final int LATE_DISPATCH_INTERVAL = 8;

    private final Map<OrganisationName, OrganisationQueue> organisations = new HashMap<>();
    private final TreeSet<OrganisationQueue> withOnTime = new TreeSet<>(OrganisationQueue.BY_VIRTUAL_TIME);
    private final TreeSet<OrganisationQueue> withLate = new TreeSet<>(OrganisationQueue.BY_VIRTUAL_TIME);
    private final TreeSet<OrganisationQueue> idle = new TreeSet<>(OrganisationQueue.BY_VIRTUAL_TIME);
    private double virtualTime;
    private int size;
    private long serviceNanos;
    private long unservedSinceNanos;
    private int dispatchesSinceLate;

    void add(QueuedRequest request, long nowNanos) {
        if (size == 0) {
            unservedSinceNanos = nowNanos;
        }
        OrganisationQueue queue =
                organisations.computeIfAbsent(request.request().organisation(), OrganisationQueue::new);
        update(queue, updated -> {
            if (updated.isEmpty()) {
                updated.setVirtualTime(Math.max(updated.virtualTime(), virtualTime));
            }
            updated.onTime().add(request);
        });
        size++;
        serviceNanos += request.serviceNanos();
    }

    void remove(QueuedRequest request) {
        OrganisationQueue queue = organisations.get(request.request().organisation());
        update(queue, updated -> updated.remove(request));
        size--;
        serviceNanos -= request.serviceNanos();
    }

    /** Returns the request to dispatch next. */
    Optional<QueuedRequest> next(long nowNanos) {
        moveLateRequests(nowNanos);
        boolean takesLate =
                withOnTime.isEmpty() || (dispatchesSinceLate >= LATE_DISPATCH_INTERVAL - 1 && !withLate.isEmpty());
        return takesLate
                ? first(withLate).map(queue -> queue.late().first())
                : first(withOnTime).map(queue -> queue.onTime().first());
    }

    /** Removes a request for dispatch and charges its tokens to its organisation. */
    void take(QueuedRequest request, long nowNanos) {
        OrganisationQueue queue = organisations.get(request.request().organisation());
        dispatchesSinceLate = queue.late().contains(request) ? 0 : dispatchesSinceLate + 1;
        virtualTime = Math.max(virtualTime, queue.virtualTime());
        remove(request);
        charge(request.request().organisation(), request.request().totalTokens());
        unservedSinceNanos = nowNanos;
    }

    /** Adds tokens to an organisation's counter; a negative amount refunds tokens that were charged but not used. */
    void charge(OrganisationName organisation, double tokens) {
        Optional.ofNullable(organisations.get(organisation))
                .ifPresent(queue ->
                        update(queue, updated -> updated.setVirtualTime(Math.max(0, updated.virtualTime() + tokens))));
        removeIdle();
    }

    /** Returns the request to shed first: a late one if there is any, of the organisation that was served most. */
    QueuedRequest shedCandidate() {
        return withLate.isEmpty()
                ? withOnTime.last().onTime().last()
                : withLate.last().late().first();
    }

    int size() {
        return size;
    }

    long serviceNanos() {
        return serviceNanos;
    }

    /** The start of the current period in which requests of this tier wait and none is dispatched. */
    long unservedSinceNanos() {
        return unservedSinceNanos;
    }

    private void moveLateRequests(long nowNanos) {
        while (!withOnTime.isEmpty()) {
            OrganisationQueue queue = withOnTime.first();
            QueuedRequest head = queue.onTime().first();
            if (nowNanos <= head.firstTokenLatestStartNanos()) {
                return;
            }
            update(queue, updated -> {
                updated.onTime().remove(head);
                updated.late().add(head);
            });
        }
    }

    /** Updates an organisation's queue and its position in the ordered sets. */
    private void update(OrganisationQueue queue, Consumer<OrganisationQueue> action) {
        withOnTime.remove(queue);
        withLate.remove(queue);
        idle.remove(queue);
        action.accept(queue);
        if (queue.isEmpty()) {
            idle.add(queue);
            return;
        }
        if (!queue.onTime().isEmpty()) {
            withOnTime.add(queue);
        }
        if (!queue.late().isEmpty()) {
            withLate.add(queue);
        }
    }

    /** Drops idle organisations at or below the virtual time: their counter would be raised to it on return anyway. */
    private void removeIdle() {
        while (!idle.isEmpty() && idle.first().virtualTime() <= virtualTime) {
            organisations.remove(idle.pollFirst().organisation());
        }
    }

    private static Optional<OrganisationQueue> first(NavigableSet<OrganisationQueue> queues) {
        return queues.isEmpty() ? Optional.empty() : Optional.of(queues.first());
    }
}
