package org.cowslippick.scheduler.slot;

import org.cowslippick.core.routing.LiveEndpoint;

/** The decision about one request in a scheduling step. */
public sealed interface SlotDecision {

    SlotRequest request();

    /**
     * The request is granted a slot and must be sent to the endpoint now.
     *
     * @param predictedNanos the expected time to the first token
     */
    record Granted(SlotRequest request, LiveEndpoint endpoint, long predictedNanos) implements SlotDecision {}

    /**
     * The request is refused and must not be sent.
     *
     * @param retryAfterNanos the delay after which a slot is expected to be free
     */
    record Refused(SlotRequest request, Reason reason, long retryAfterNanos) implements SlotDecision {}

    enum Reason {
        NO_ENDPOINT,
        QUEUE_TOO_LONG,
        EXPIRED
    }
}
