package org.cowslippick.scheduler.pool;

import java.time.Duration;
import java.util.Optional;
import org.cowslippick.core.error.ErrorKind;
import org.cowslippick.core.error.Failure;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.scheduler.endpoint.EndpointTable;
import org.cowslippick.scheduler.queue.QueuedRequest;
import org.cowslippick.scheduler.queue.TieredQueue;

/**
 * Predicts when a request would be answered and refuses one whose deadline it would miss. The work ahead of a request
 * is that of its own and higher tiers only, since lower ones are served after it. A request that the queue alone makes
 * late is refused only while no lower tier waits, so that overload never costs a higher tier before a lower one.
 */
final class Admission {

    private static final double USED_SHARE_GAIN = 0.05;
    private static final long SHORTEST_RETRY_AFTER_NANOS = 1_000_000L;

    private final TieredQueue queue;
    private final EndpointTable endpoints;
    private final DrainModel drain;
    private double usedAnswerShare = 1;
    private long nextSequence;

    Admission(TieredQueue queue, EndpointTable endpoints, DrainModel drain) {
        this.queue = queue;
        this.drain = drain;
        this.endpoints = endpoints;
    }

    /** Why the request cannot be answered in time, if that is predicted. */
    Optional<Failure> refusal(RequestDescriptor request, long nowNanos) {
        if (endpoints.members().isEmpty()) {
            return Optional.of(Failure.of(ErrorKind.NO_ENDPOINT, "the pool has no endpoints"));
        }
        long leftNanos = request.deadlineAtNanos() - nowNanos;
        if (leftNanos <= 0) {
            return Optional.of(expired(request, nowNanos));
        }
        long serviceNanos = serviceNanos(request);
        if (serviceNanos > leftNanos) {
            return Optional.of(Failure.of(
                    ErrorKind.DEADLINE_UNREACHABLE,
                    "the answer is predicted to take " + milliseconds(serviceNanos) + " ms without any wait, but only "
                            + milliseconds(leftNanos) + " ms are left"));
        }
        return overload(request, serviceNanos, leftNanos, nowNanos);
    }

    QueuedRequest queued(RequestDescriptor request) {
        double firstTokenNanos = endpoints.poolLatency().firstTokenNanos(request.promptTokens());
        long serviceNanos = serviceNanos(request);
        return new QueuedRequest(
                request,
                nextSequence++,
                request.firstTokenDueAtNanos() - (long) firstTokenNanos,
                request.deadlineAtNanos() - serviceNanos,
                serviceNanos);
    }

    Failure shed(RequestDescriptor request, long nowNanos) {
        return Failure.retryAfter(
                ErrorKind.SHED,
                "the queue holds " + queue.size() + " requests and tier "
                        + request.tier().name() + " was the lowest in it",
                retryAfter(request, nowNanos));
    }

    Failure expired(RequestDescriptor request, long nowNanos) {
        return Failure.retryAfter(
                ErrorKind.DEADLINE_PASSED_IN_QUEUE,
                "after " + milliseconds(nowNanos - request.arrivalNanos())
                        + " ms in the queue the answer can no longer be in time",
                retryAfter(request, nowNanos));
    }

    /** Learns how much of the allowed answer length is used. */
    void observeAnswer(RequestDescriptor request, int answerTokens) {
        if (request.answerTokens() > 0) {
            double share = Math.min(1, (double) answerTokens / request.answerTokens());
            usedAnswerShare += USED_SHARE_GAIN * (share - usedAnswerShare);
        }
    }

    double expectedAnswerTokens(RequestDescriptor request) {
        return usedAnswerShare * request.answerTokens();
    }

    private Optional<Failure> overload(RequestDescriptor request, long serviceNanos, long leftNanos, long nowNanos) {
        int rank = request.tier().rank();
        long waitNanos = drain.waitNanos(rank, nowNanos);
        long excessNanos = waitNanos + serviceNanos - leftNanos;
        if (excessNanos <= 0 || queue.hasLowerTierThan(rank)) {
            return Optional.empty();
        }
        return Optional.of(Failure.retryAfter(
                ErrorKind.DEADLINE_UNREACHABLE,
                "the predicted wait is " + milliseconds(waitNanos) + " ms and the answer takes "
                        + milliseconds(serviceNanos) + " ms, but only " + milliseconds(leftNanos) + " ms are left",
                Duration.ofNanos(excessNanos)));
    }

    /** When what waits before a request of this tier is predicted to be done. */
    private Duration retryAfter(RequestDescriptor request, long nowNanos) {
        return Duration.ofNanos(Math.max(
                SHORTEST_RETRY_AFTER_NANOS, drain.waitNanos(request.tier().rank(), nowNanos)));
    }

    private long serviceNanos(RequestDescriptor request) {
        return (long) (endpoints.poolLatency().firstTokenNanos(request.promptTokens())
                + endpoints.poolLatency().betweenTokensNanos() * expectedAnswerTokens(request));
    }

    private static long milliseconds(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }
}
