package org.cowslippick.scheduler.share;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NavigableSet;
import java.util.NoSuchElementException;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;

/**
 * Merges the queues of organisations as dispatches would, without changing them. A queue is opened only when its turn
 * comes, so the first request takes logarithmic time.
 */
final class DispatchIterator<T> implements Iterator<T> {

    private final Iterator<OrganisationQueue<T>> queues;
    private final ToDoubleFunction<T> workOf;
    private final PriorityQueue<Cursor<T>> opened;
    private Cursor<T> unopened;

    DispatchIterator(NavigableSet<OrganisationQueue<T>> active, Comparator<T> order, ToDoubleFunction<T> workOf) {
        this.queues = active.iterator();
        this.workOf = workOf;
        this.opened = new PriorityQueue<>(Comparator.<Cursor<T>>comparingDouble(cursor -> cursor.start)
                .thenComparing(cursor -> cursor.request, order));
        readUnopened();
    }

    private void readUnopened() {
        if (!queues.hasNext()) {
            unopened = null;
            return;
        }
        OrganisationQueue<T> queue = queues.next();
        unopened = new Cursor<>(queue.iterator(), queue.start());
    }

    @Override
    public boolean hasNext() {
        return unopened != null || !opened.isEmpty();
    }

    @Override
    public T next() {
        if (!hasNext()) {
            throw new NoSuchElementException("all waiting requests have been read");
        }
        Cursor<T> cursor = nextCursor();
        T request = cursor.request;
        if (cursor.rest.hasNext()) {
            cursor.start += workOf.applyAsDouble(request);
            cursor.request = cursor.rest.next();
            opened.add(cursor);
        }
        return request;
    }

    private Cursor<T> nextCursor() {
        if (unopened == null || (!opened.isEmpty() && opened.comparator().compare(opened.peek(), unopened) < 0)) {
            return opened.poll();
        }
        Cursor<T> cursor = unopened;
        readUnopened();
        return cursor;
    }

    private static final class Cursor<T> {
        private final Iterator<T> rest;
        private T request;
        private double start;

        Cursor(Iterator<T> requests, double start) {
            this.rest = requests;
            this.request = requests.next();
            this.start = start;
        }
    }
}
