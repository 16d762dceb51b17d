package org.cowslippick.scheduler.slot;

import java.time.Duration;
import org.cowslippick.scheduler.share.OrganisationReturns;
import org.cowslippick.scheduler.share.ReturnSchedule;

/**
 * Refuses requests with delays at which there will be room, spread so that callers do not return together, and
 * recognises the callers that return. Nothing is stored: a new owner of the pool starts without promises.
 */
final class Refusals {

    private static final long MINIMUM_RETRY_AFTER_NANOS = Duration.ofMillis(800).toNanos();
    private static final long MAXIMUM_RETRY_AFTER_NANOS = Duration.ofSeconds(4).toNanos();
    private static final long NO_ENDPOINT_RETRY_AFTER_NANOS =
            Duration.ofMillis(500).toNanos();

    /** A caller honours a delay of at most a third of the time that it has left. */
    private static final int HONOURED_DIVISOR = 3;

    /** The time in which the refusal reaches the caller from an owner in another region. */
    private static final long REFUSAL_TRAVEL_NANOS = Duration.ofMillis(60).toNanos();

    /** Keeps a caller whose time is nearly over from returning at once. */
    private static final long SHORTEST_NANOS = Duration.ofMillis(50).toNanos();

    private final RefusedRequests refused = new RefusedRequests();
    private final ReturnSchedule returns = new ReturnSchedule();
    private final OrganisationReturns organisationReturns = new OrganisationReturns();

    /** Records a dispatch, from which the share of its organisation follows. */
    void recordDispatch(SlotRequest request) {
        organisationReturns.recordDispatch(request.organisation());
    }

    /** Returns the request as a caller's retry if it was refused before and comes at the named time or later. */
    SlotRequest matchRetry(SlotRequest request, long nowNanos) {
        return refused.matchRetry(request, nowNanos);
    }

    SlotDecision.Refused noEndpoint(SlotRequest request, long nowNanos) {
        return refuse(
                request,
                SlotDecision.Reason.NO_ENDPOINT,
                Math.min(NO_ENDPOINT_RETRY_AFTER_NANOS, honouredNanos(request, nowNanos)),
                nowNanos);
    }

    SlotDecision.Refused expired(SlotRequest request, long dispatchNanos, long nowNanos) {
        long delay = bookedNanos(request, MINIMUM_RETRY_AFTER_NANOS, dispatchNanos, nowNanos);
        return refuse(request, SlotDecision.Reason.EXPIRED, delay, nowNanos);
    }

    /**
     * Refuses a request that the queue would make late.
     *
     * @param pauseNanos the time until the first endpoint wants requests again; shorter delays would be in vain
     */
    SlotDecision.Refused queueTooLong(
            SlotRequest request, long waitNanos, long pauseNanos, long dispatchNanos, long nowNanos) {
        long earliest = Math.max(MINIMUM_RETRY_AFTER_NANOS, Math.min(2 * waitNanos, MAXIMUM_RETRY_AFTER_NANOS));
        long delay = bookedNanos(request, earliest, dispatchNanos, nowNanos);
        return refuse(request, SlotDecision.Reason.QUEUE_TOO_LONG, Math.max(delay, pauseNanos), nowNanos);
    }

    private long bookedNanos(SlotRequest request, long earliestNanos, long dispatchNanos, long nowNanos) {
        long latest = Math.min(MAXIMUM_RETRY_AFTER_NANOS, honouredNanos(request, nowNanos));
        long earliest = organisationReturns.earliestNanos(
                request.organisation(), Math.min(earliestNanos, latest), latest, dispatchNanos, nowNanos);
        return returns.book(request.rank(), earliest, latest, dispatchNanos, nowNanos);
    }

    private SlotDecision.Refused refuse(
            SlotRequest request, SlotDecision.Reason reason, long delayNanos, long nowNanos) {
        refused.add(request, Math.min(delayNanos, honouredNanos(request, nowNanos)), nowNanos);
        return new SlotDecision.Refused(request, reason, delayNanos);
    }

    private static long honouredNanos(SlotRequest request, long nowNanos) {
        long remaining = request.expiresAtNanos() - nowNanos - REFUSAL_TRAVEL_NANOS;
        return Math.max(SHORTEST_NANOS, remaining / HONOURED_DIVISOR);
    }
}
