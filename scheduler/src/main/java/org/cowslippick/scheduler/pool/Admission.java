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
 * Predicts when a request would be answered and refuses it if that is after its deadline. Only the work of its own and
 * higher tiers counts as ahead of it, since lower tiers are served later. A request that only the queue would make late
 * is refused only while no lower tier waits, so that overload never affects a higher tier before a lower one.
 */
final class Admission {

    private static final double ANSWER_LENGTH_GAIN = 0.05;
    private static final long MINIMUM_RETRY_AFTER_NANOS = 1_000_000L;

    private final TieredQueue queue;
    private final EndpointTable endpoints;
    private final DrainModel drain;
    private double answerLengthShare = 1;
    private long nextSequence;

    Admission(TieredQueue queue, EndpointTable endpoints, DrainModel drain) {
        this.queue = queue;
        this.drain = drain;
        this.endpoints = endpoints;
    }

    /** Returns why the request is refused, if its answer is predicted to miss the deadline. */
    Optional<Failure> refusal(RequestDescriptor request, long nowNanos) {
        if (endpoints.members().isEmpty()) {
            return Optional.of(Failure.of(ErrorKind.NO_ENDPOINT, "the pool has no endpoints"));
        }
        long remainingNanos = request.deadlineAtNanos() - nowNanos;
        if (remainingNanos <= 0) {
            return Optional.of(expiredFailure(request, nowNanos));
        }
        long serviceNanos = serviceNanos(request);
        if (serviceNanos > remainingNanos) {
            return Optional.of(Failure.of(
                    ErrorKind.DEADLINE_UNREACHABLE,
                    "the answer is predicted to take " + milliseconds(serviceNanos) + " ms without queueing, but only "
                            + milliseconds(remainingNanos) + " ms remain until the deadline"));
        }
        return overloadRefusal(request, serviceNanos, remainingNanos, nowNanos);
    }

    QueuedRequest toQueuedRequest(RequestDescriptor request) {
        double firstTokenNanos = endpoints.poolLatency().firstTokenNanos(request.promptTokens());
        long serviceNanos = serviceNanos(request);
        return new QueuedRequest(
                request,
                nextSequence++,
                request.firstTokenDueAtNanos() - (long) firstTokenNanos,
                request.deadlineAtNanos() - serviceNanos,
                serviceNanos);
    }

    Failure shedFailure(RequestDescriptor request, long nowNanos) {
        return Failure.retryAfter(
                ErrorKind.SHED,
                "the queue is full with " + queue.size() + " requests and tier "
                        + request.tier().name() + " is the lowest tier in it",
                retryAfter(request, nowNanos));
    }

    Failure expiredFailure(RequestDescriptor request, long nowNanos) {
        return Failure.retryAfter(
                ErrorKind.DEADLINE_PASSED_IN_QUEUE,
                "after " + milliseconds(nowNanos - request.arrivalNanos())
                        + " ms in the queue the deadline can no longer be met",
                retryAfter(request, nowNanos));
    }

    /** Updates the expected share of the maximum answer length. */
    void observeAnswer(RequestDescriptor request, int answerTokens) {
        if (request.answerTokens() > 0) {
            double share = Math.min(1, (double) answerTokens / request.answerTokens());
            answerLengthShare += ANSWER_LENGTH_GAIN * (share - answerLengthShare);
        }
    }

    double expectedAnswerTokens(RequestDescriptor request) {
        return answerLengthShare * request.answerTokens();
    }

    private Optional<Failure> overloadRefusal(
            RequestDescriptor request, long serviceNanos, long remainingNanos, long nowNanos) {
        int rank = request.tier().rank();
        long waitNanos = drain.waitNanos(rank, nowNanos);
        long excessNanos = waitNanos + serviceNanos - remainingNanos;
        if (excessNanos <= 0 || queue.hasLowerTierThan(rank)) {
            return Optional.empty();
        }
        return Optional.of(Failure.retryAfter(
                ErrorKind.DEADLINE_UNREACHABLE,
                "the predicted queueing time is " + milliseconds(waitNanos) + " ms and the answer takes "
                        + milliseconds(serviceNanos) + " ms, but only " + milliseconds(remainingNanos)
                        + " ms remain until the deadline",
                Duration.ofNanos(excessNanos)));
    }

    /** The predicted time to drain the queue down to the tier of the request. */
    private Duration retryAfter(RequestDescriptor request, long nowNanos) {
        return Duration.ofNanos(Math.max(
                MINIMUM_RETRY_AFTER_NANOS, drain.waitNanos(request.tier().rank(), nowNanos)));
    }

    private long serviceNanos(RequestDescriptor request) {
        return (long) (endpoints.poolLatency().firstTokenNanos(request.promptTokens())
                + endpoints.poolLatency().betweenTokensNanos() * expectedAnswerTokens(request));
    }

    private static long milliseconds(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }
}
