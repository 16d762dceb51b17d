package org.cowslippick.scheduler.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.cowslippick.core.world.OrganisationName;

/**
 * The waiting requests of one tier. The organisation that was served the fewest tokens goes first, an idle one being
 * lifted to the tier's virtual time when it comes back: "Fairness in Serving Large Language Models" (VTC), Sheng et al.
 * 2024. Requests that can no longer keep their first-token promise go after those that can, but get every
 * {@value #LATE_TURN}th turn, so that an overloaded tier does not make all of its requests late.
 */
final class TierQueue {

    private static final int LATE_TURN = 8;

    private final Map<OrganisationName, OrganisationQueue> organisations = new HashMap<>();
    private final TreeSet<OrganisationQueue> withTimely = new TreeSet<>(OrganisationQueue.BY_VIRTUAL_TIME);
    private final TreeSet<OrganisationQueue> withLate = new TreeSet<>(OrganisationQueue.BY_VIRTUAL_TIME);
    private final TreeSet<OrganisationQueue> idle = new TreeSet<>(OrganisationQueue.BY_VIRTUAL_TIME);
    private double virtualTime;
    private int size;
    private long serviceNanos;
    private long unservedSinceNanos;
    private int turnsSinceLate;

    void add(QueuedRequest request, long nowNanos) {
        if (size == 0) {
            unservedSinceNanos = nowNanos;
        }
        OrganisationQueue queue =
                organisations.computeIfAbsent(request.request().organisation(), OrganisationQueue::new);
        change(queue, changed -> {
            if (changed.isEmpty()) {
                changed.setVirtualTime(Math.max(changed.virtualTime(), virtualTime));
            }
            changed.timely().add(request);
        });
        size++;
        serviceNanos += request.serviceNanos();
    }

    void remove(QueuedRequest request) {
        OrganisationQueue queue = organisations.get(request.request().organisation());
        change(queue, changed -> changed.remove(request));
        size--;
        serviceNanos -= request.serviceNanos();
    }

    /** The request whose turn it is. */
    Optional<QueuedRequest> next(long nowNanos) {
        sortOutLate(nowNanos);
        boolean lateTurn = withTimely.isEmpty() || (turnsSinceLate >= LATE_TURN - 1 && !withLate.isEmpty());
        return lateTurn
                ? first(withLate).map(queue -> queue.late().first())
                : first(withTimely).map(queue -> queue.timely().first());
    }

    /** Removes a request that is dispatched and charges its tokens to its organisation. */
    void take(QueuedRequest request, long nowNanos) {
        OrganisationQueue queue = organisations.get(request.request().organisation());
        turnsSinceLate = queue.late().contains(request) ? 0 : turnsSinceLate + 1;
        virtualTime = Math.max(virtualTime, queue.virtualTime());
        remove(request);
        charge(request.request().organisation(), request.request().totalTokens());
        unservedSinceNanos = nowNanos;
    }

    /** Adds tokens to what an organisation was served; negative for tokens that were charged but not used. */
    void charge(OrganisationName organisation, double tokens) {
        Optional.ofNullable(organisations.get(organisation))
                .ifPresent(queue ->
                        change(queue, changed -> changed.setVirtualTime(Math.max(0, changed.virtualTime() + tokens))));
        forgetIdle();
    }

    /** The request that is shed first: of the organisation served most, one that is late if there is any. */
    QueuedRequest last() {
        return withLate.isEmpty()
                ? withTimely.last().timely().last()
                : withLate.last().late().first();
    }

    int size() {
        return size;
    }

    long serviceNanos() {
        return serviceNanos;
    }

    /** Since when requests have waited without any of this tier being dispatched. */
    long unservedSinceNanos() {
        return unservedSinceNanos;
    }

    private void sortOutLate(long nowNanos) {
        while (!withTimely.isEmpty()) {
            OrganisationQueue queue = withTimely.first();
            QueuedRequest head = queue.timely().first();
            if (nowNanos <= head.timelyStartNanos()) {
                return;
            }
            change(queue, changed -> {
                changed.timely().remove(head);
                changed.late().add(head);
            });
        }
    }

    /** Changes an organisation's queue and keeps the ordered sets right. */
    private void change(OrganisationQueue queue, Consumer<OrganisationQueue> action) {
        withTimely.remove(queue);
        withLate.remove(queue);
        idle.remove(queue);
        action.accept(queue);
        if (queue.isEmpty()) {
            idle.add(queue);
            return;
        }
        if (!queue.timely().isEmpty()) {
            withTimely.add(queue);
        }
        if (!queue.late().isEmpty()) {
            withLate.add(queue);
        }
    }

    /** Idle organisations at or below the virtual time would be lifted to it anyway. */
    private void forgetIdle() {
        while (!idle.isEmpty() && idle.first().virtualTime() <= virtualTime) {
            organisations.remove(idle.pollFirst().organisation());
        }
    }

    private static Optional<OrganisationQueue> first(NavigableSet<OrganisationQueue> queues) {
        return queues.isEmpty() ? Optional.empty() : Optional.of(queues.first());
    }
}
