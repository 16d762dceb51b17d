package org.cowslippick.scheduler.share;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Spliterator;
import java.util.Spliterators;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.cowslippick.core.world.OrganisationName;

/**
 * The waiting requests of one urgency, shared between organisations by start-time fair queueing (Goyal, Vin and Cheng,
 * 1996). The organisation with the lowest virtual start time goes first; a dispatch raises it by the work of the
 * request. One that starts to wait begins at the current virtual time, so idle time gains no credit. Removal without a
 * dispatch costs nothing. With one organisation, the order is that of the given comparator.
 *
 * @param <T> a waiting request
 */
public final class FairQueue<T> {

    private final Comparator<T> order;
    private final Function<T, Optional<OrganisationName>> organisationOf;
    private final ToDoubleFunction<T> workOf;
    private final Predicate<T> isReturn;
    private final Map<Optional<OrganisationName>, OrganisationQueue<T>> organisations = new HashMap<>();
    private final NavigableSet<OrganisationQueue<T>> active = new TreeSet<>(OrganisationQueue.byStart());
    private final NavigableSet<OrganisationQueue<T>> byWork = new TreeSet<>(OrganisationQueue.byWork());
    private final NavigableSet<OrganisationQueue<T>> idle = new TreeSet<>(OrganisationQueue.byIdleStart());
    private final BacklogHistogram backlogs = new BacklogHistogram();
    private double virtualTime;
    private long created;
    private int size;
    private Optional<Long> takenAtNanos = Optional.empty();

    /**
     * Creates an empty queue.
     *
     * @param order of the requests of one organisation, consistent with equals; returns come first
     * @param workOf the scarce work of a request, at least 1
     * @param isReturn whether the caller returns after a refusal
     */
    public FairQueue(
            Comparator<T> order,
            Function<T, Optional<OrganisationName>> organisationOf,
            ToDoubleFunction<T> workOf,
            Predicate<T> isReturn) {
        this.order = order;
        this.organisationOf = organisationOf;
        this.workOf = workOf;
        this.isReturn = isReturn;
    }

    public boolean isEmpty() {
        return size == 0;
    }

    public int size() {
        return size;
    }

    public void add(T request) {
        OrganisationQueue<T> queue = organisations.computeIfAbsent(
                organisationOf.apply(request), key -> new OrganisationQueue<>(key, order, created++));
        update(queue, updated -> {
            if (updated.isEmpty()) {
                updated.raiseStart(virtualTime);
            }
            updated.add(request, workOf.applyAsDouble(request), isReturn.test(request));
        });
        size++;
    }

    /** Removes a request that is not dispatched. */
    public boolean remove(T request) {
        OrganisationQueue<T> queue = organisations.get(organisationOf.apply(request));
        if (queue == null || !queue.contains(request)) {
            return false;
        }
        update(queue, updated -> updated.remove(request, workOf.applyAsDouble(request), isReturn.test(request)));
        size--;
        return true;
    }

    /** Removes a request that is dispatched and charges its work to its organisation. */
    public boolean take(T request, long nowNanos) {
        OrganisationQueue<T> queue = organisations.get(organisationOf.apply(request));
        if (queue == null || !queue.contains(request)) {
            return false;
        }
        takenAtNanos = Optional.of(nowNanos);
        virtualTime = Math.max(virtualTime, queue.start());
        remove(request);
        update(queue, updated -> updated.charge(workOf.applyAsDouble(request)));
        forgetPaidOrganisations();
        return true;
    }

    /** When a request was last dispatched; empty if none was. */
    public Optional<Long> takenAtNanos() {
        return takenAtNanos;
    }

    /** Returns the request to dispatch next. */
    public Optional<T> first() {
        return active.isEmpty() ? Optional.empty() : Optional.of(active.first().first());
    }

    /** Returns the first request of the organisation of the given request. */
    public Optional<T> firstOfOrganisation(T request) {
        return Optional.ofNullable(organisations.get(organisationOf.apply(request)))
                .filter(queue -> !queue.isEmpty())
                .map(OrganisationQueue::first);
    }

    /** The requests in the order in which they are dispatched if no other arrives; evaluated lazily. */
    public Stream<T> stream() {
        return StreamSupport.stream(
                Spliterators.spliteratorUnknownSize(new DispatchIterator<>(active, order, workOf), Spliterator.ORDERED),
                false);
    }

    /**
     * Estimates how many requests are dispatched before a new one: those of its own organisation, and of each other one
     * as much work as its own organisation has waiting, and at least one request. The time does not depend on the
     * number of requests.
     */
    public int countAhead(T request) {
        return countAhead(request, OrganisationQueue::size, OrganisationQueue::work);
    }

    /** The same for a request that goes before the first attempts of its organisation. */
    public int countAheadOfReturn(T request) {
        return countAhead(request, OrganisationQueue::returns, OrganisationQueue::returnWork);
    }

    private int countAhead(
            T request,
            Function<OrganisationQueue<T>, Integer> ownSize,
            Function<OrganisationQueue<T>, Double> ownWork) {
        OrganisationQueue<T> own = organisations.get(organisationOf.apply(request));
        if (own == null) {
            return (int) Math.ceil(backlogs.countWithin(0));
        }
        double within = Math.max(0, own.start() - virtualTime) + ownWork.apply(own);
        double others = backlogs.countWithin(within, own.size(), own.work());
        return ownSize.apply(own) + (int) Math.ceil(Math.min(others, size - own.size()));
    }

    /**
     * Returns the request to give up for the given new one, so that no organisation exceeds its share of a full queue:
     * the last of the organisation with the most work, if that has more than the organisation of the new request would
     * have. A return may also replace a first attempt of its own organisation.
     */
    public Optional<T> replaceableBy(T request) {
        return last().filter(last -> !isReturn.test(last)).filter(_last -> {
            OrganisationQueue<T> own = organisations.get(organisationOf.apply(request));
            double ownWork = workOf.applyAsDouble(request) + (own == null ? 0 : own.work());
            return isReturn.test(request) || ownWork < byWork.last().work();
        });
    }

    /** Returns the last request of the organisation with the most work. */
    public Optional<T> last() {
        return byWork.isEmpty() ? Optional.empty() : Optional.of(byWork.last().last());
    }

    /** Changes an organisation's queue and its position in the ordered sets. */
    private void update(OrganisationQueue<T> queue, Consumer<OrganisationQueue<T>> change) {
        if (queue.isEmpty()) {
            idle.remove(queue);
        } else {
            active.remove(queue);
            byWork.remove(queue);
            backlogs.remove(queue.size(), queue.work());
        }
        change.accept(queue);
        if (queue.isEmpty()) {
            idle.add(queue);
        } else {
            active.add(queue);
            byWork.add(queue);
            backlogs.add(queue.size(), queue.work());
        }
    }

    /** Forgets organisations without requests that would begin at the virtual time anyway. */
    private void forgetPaidOrganisations() {
        while (!idle.isEmpty() && idle.first().start() <= virtualTime) {
            organisations.remove(idle.pollFirst().key());
        }
    }
}
