package org.cowslippick.scheduler.slot;

import org.cowslippick.core.routing.LiveEndpoint;

/** What a step decided about one request. */
public sealed interface SlotDecision {

    /** The request that the decision is about. */
    SlotRequest request();

    /**
     * The request is to be sent to the endpoint now.
     *
     * @param predictedNanos the expected time to the first token
     */
    record Granted(SlotRequest request, LiveEndpoint endpoint, long predictedNanos) implements SlotDecision {}

    /**
     * The request is not going to be sent.
     *
     * @param retryAfterNanos when a slot is expected to be free for it
     */
    record Refused(SlotRequest request, Reason reason, long retryAfterNanos) implements SlotDecision {}

    /** Why a request is refused. */
    enum Reason {
        NO_ENDPOINT,
        QUEUE_TOO_LONG,
        EXPIRED
    }
}
