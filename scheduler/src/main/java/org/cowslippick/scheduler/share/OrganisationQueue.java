package org.cowslippick.scheduler.share;

import java.util.Comparator;
import java.util.Iterator;
import java.util.Optional;
import java.util.TreeSet;
import org.cowslippick.core.world.OrganisationName;

/** The waiting requests of one organisation, their work and the organisation's virtual start time. */
final class OrganisationQueue<T> {

    private final Optional<OrganisationName> key;
    private final Comparator<T> order;
    private final TreeSet<T> requests;
    private final long number;
    private double start;
    private double work;
    private double returnWork;
    private int returns;

    OrganisationQueue(Optional<OrganisationName> key, Comparator<T> order, long number) {
        this.key = key;
        this.order = order;
        this.requests = new TreeSet<>(order);
        this.number = number;
    }

    /** By virtual start time; equal ones by their first requests. Neither queue may be empty. */
    static <T> Comparator<OrganisationQueue<T>> byStart() {
        return Comparator.<OrganisationQueue<T>>comparingDouble(OrganisationQueue::start)
                .thenComparing((one, other) -> one.order.compare(one.first(), other.first()))
                .thenComparingLong(queue -> queue.number);
    }

    static <T> Comparator<OrganisationQueue<T>> byWork() {
        return Comparator.<OrganisationQueue<T>>comparingDouble(OrganisationQueue::work)
                .thenComparingLong(queue -> queue.number);
    }

    static <T> Comparator<OrganisationQueue<T>> byIdleStart() {
        return Comparator.<OrganisationQueue<T>>comparingDouble(OrganisationQueue::start)
                .thenComparingLong(queue -> queue.number);
    }

    Optional<OrganisationName> key() {
        return key;
    }

    double start() {
        return start;
    }

    double work() {
        return work;
    }

    double returnWork() {
        return returnWork;
    }

    int size() {
        return requests.size();
    }

    int returns() {
        return returns;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    boolean contains(T request) {
        return requests.contains(request);
    }

    T first() {
        return requests.first();
    }

    T last() {
        return requests.last();
    }

    Iterator<T> iterator() {
        return requests.iterator();
    }

    void raiseStart(double virtualTime) {
        start = Math.max(start, virtualTime);
    }

    void charge(double added) {
        start += added;
    }

    void add(T request, double added, boolean isReturn) {
        requests.add(request);
        work += added;
        if (isReturn) {
            returns++;
            returnWork += added;
        }
    }

    void remove(T request, double removed, boolean isReturn) {
        requests.remove(request);
        work -= removed;
        if (isReturn) {
            returns--;
            returnWork -= removed;
        }
    }
}
