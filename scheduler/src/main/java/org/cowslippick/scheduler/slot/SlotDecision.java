package org.cowslippick.scheduler.slot;

import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.scheduler.engine.SpeedEstimate;

/** The decision about one request in a scheduling step. */
public sealed interface SlotDecision {

    SlotRequest request();

    /**
     * The request is granted a slot and must be sent to the endpoint now.
     *
     * @param predictedNanos the expected time to the first token
     * @param keptTokens the tokens of the prompt that the endpoint is believed to keep, which are not in the prediction
     * @param rateLimit what the granting queue knows of the endpoint's rate limit; empty if it has never named one
     * @param speed the speed that the granting queue assumes of the endpoint
     */
    record Granted(
            SlotRequest request,
            LiveEndpoint endpoint,
            long predictedNanos,
            long keptTokens,
            Optional<EndpointRateLimit> rateLimit,
            SpeedEstimate speed)
            implements SlotDecision {}

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
