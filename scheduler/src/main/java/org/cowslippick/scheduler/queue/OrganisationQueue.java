package org.cowslippick.scheduler.queue;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.cowslippick.core.world.OrganisationName;

/**
 * The waiting requests of one organisation in one tier. On-time requests can still meet their first-token target and
 * are ordered by it; late requests cannot and are ordered by deadline.
 */
final class OrganisationQueue {

    static final Comparator<OrganisationQueue> BY_VIRTUAL_TIME =
            Comparator.comparingDouble(OrganisationQueue::virtualTime).thenComparing(OrganisationQueue::organisation);

    private final OrganisationName organisation;
    private final TreeSet<QueuedRequest> onTime = new TreeSet<>(QueuedRequest.BY_FIRST_TOKEN_START);
    private final TreeSet<QueuedRequest> late = new TreeSet<>(QueuedRequest.BY_DEADLINE_START);
    private double virtualTime;

    OrganisationQueue(OrganisationName organisation) {
        this.organisation = organisation;
    }

    OrganisationName organisation() {
        return organisation;
    }

    /** Tokens served to this organisation in this tier, raised to the tier's virtual time after an idle period. */
    double virtualTime() {
        return virtualTime;
    }

    void setVirtualTime(double newVirtualTime) {
        virtualTime = newVirtualTime;
    }

    NavigableSet<QueuedRequest> onTime() {
        return onTime;
    }

    NavigableSet<QueuedRequest> late() {
        return late;
    }

    boolean remove(QueuedRequest request) {
        return onTime.remove(request) || late.remove(request);
    }

    boolean isEmpty() {
        return onTime.isEmpty() && late.isEmpty();
    }
}
