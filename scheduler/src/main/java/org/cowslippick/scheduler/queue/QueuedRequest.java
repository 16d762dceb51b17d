package org.cowslippick.scheduler.queue;

import java.util.Comparator;
import org.cowslippick.core.request.RequestDescriptor;

/**
 * A request that waits for an endpoint.
 *
 * @param sequence breaks ties in order of arrival; unique in its queue
 * @param timelyStartNanos the latest dispatch that is predicted to keep the first-token promise
 * @param latestStartNanos the latest dispatch that is predicted to meet the deadline
 * @param serviceNanos how long it is predicted to occupy an endpoint
 */
public record QueuedRequest(
        RequestDescriptor request, long sequence, long timelyStartNanos, long latestStartNanos, long serviceNanos) {

    static final Comparator<QueuedRequest> BY_TIMELY_START =
            Comparator.comparingLong(QueuedRequest::timelyStartNanos).thenComparingLong(QueuedRequest::sequence);

    static final Comparator<QueuedRequest> BY_LATEST_START =
            Comparator.comparingLong(QueuedRequest::latestStartNanos).thenComparingLong(QueuedRequest::sequence);

    int rank() {
        return request.tier().rank();
    }
}
