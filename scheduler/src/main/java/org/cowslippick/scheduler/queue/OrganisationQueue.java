package org.cowslippick.scheduler.queue;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.cowslippick.core.world.OrganisationName;

/**
 * The waiting requests of one organisation in one tier: those that can still keep their first-token promise, earliest
 * first, and those that cannot, earliest deadline first.
 */
final class OrganisationQueue {

    static final Comparator<OrganisationQueue> BY_VIRTUAL_TIME =
            Comparator.comparingDouble(OrganisationQueue::virtualTime).thenComparing(OrganisationQueue::organisation);

    private final OrganisationName organisation;
    private final TreeSet<QueuedRequest> timely = new TreeSet<>(QueuedRequest.BY_TIMELY_START);
    private final TreeSet<QueuedRequest> late = new TreeSet<>(QueuedRequest.BY_LATEST_START);
    private double virtualTime;

    OrganisationQueue(OrganisationName organisation) {
        this.organisation = organisation;
    }

    OrganisationName organisation() {
        return organisation;
    }

    /** Tokens that this organisation was served in this tier, lifted to the tier's virtual time after idleness. */
    double virtualTime() {
        return virtualTime;
    }

    void setVirtualTime(double value) {
        virtualTime = value;
    }

    NavigableSet<QueuedRequest> timely() {
        return timely;
    }

    NavigableSet<QueuedRequest> late() {
        return late;
    }

    boolean remove(QueuedRequest request) {
        return timely.remove(request) || late.remove(request);
    }

    boolean isEmpty() {
        return timely.isEmpty() && late.isEmpty();
    }
}
