package org.cowslippick.scheduler.queue;

import java.util.Comparator;
import org.cowslippick.core.request.RequestDescriptor;

/**
 * A request that waits for dispatch to an endpoint.
 *
 * @param sequence the order of arrival, which breaks ties; unique in its queue
 * @param firstTokenLatestStartNanos the latest dispatch time that is predicted to meet the first-token target
 * @param deadlineLatestStartNanos the latest dispatch time that is predicted to meet the deadline
 * @param serviceNanos the predicted time for which it occupies an endpoint
 */
public record QueuedRequest(
        RequestDescriptor request,
        long sequence,
        long firstTokenLatestStartNanos,
        long deadlineLatestStartNanos,
        long serviceNanos) {

    static final Comparator<QueuedRequest> BY_FIRST_TOKEN_START = Comparator.comparingLong(
                    QueuedRequest::firstTokenLatestStartNanos)
            .thenComparingLong(QueuedRequest::sequence);

    static final Comparator<QueuedRequest> BY_DEADLINE_START = Comparator.comparingLong(
                    QueuedRequest::deadlineLatestStartNanos)
            .thenComparingLong(QueuedRequest::sequence);

    int rank() {
        return request.tier().rank();
    }
}
