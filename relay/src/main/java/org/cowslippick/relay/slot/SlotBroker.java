package org.cowslippick.relay.slot;

import java.util.Optional;
import org.cowslippick.core.routing.LiveEndpoint;
import org.cowslippick.core.world.ServiceName;
import org.cowslippick.scheduler.slot.AnswerOutcome;
import org.cowslippick.scheduler.slot.EndpointNotice;
import org.cowslippick.scheduler.slot.SlotKey;
import org.cowslippick.scheduler.slot.SlotRequest;

/** Grants slots of the endpoints of all services to requests. */
public interface SlotBroker {

    /** Returns a new key, unique within this instance. */
    SlotKey nextKey();

    /** Requests a slot; the listener is called once, possibly before this method returns. */
    void request(ServiceName service, SlotRequest request, SlotListener listener);

    /** Cancels a request that has not been granted a slot. */
    void withdraw(SlotKey key);

    /** Reports that the first part of the response has arrived. */
    void responseStarted(SlotKey key);

    /**
     * Reports how long work takes on the machine of the endpoint that responds; 100 is as usual. It is passed on with the
     * start of the response.
     */
    void reportMachineLoad(SlotKey key, double percent);

    /** Reports what the response to a dispatch said about the rate limit of its endpoint; empty if it named none. */
    void reportRateLimit(LiveEndpoint endpoint, Optional<Double> requestsPerSecond);

    /** Reports what an endpoint said about itself in a response to this instance. */
    void reportNotice(LiveEndpoint endpoint, EndpointNotice notice);

    /** Whether the endpoint has said that it wants no request from this instance now. */
    boolean isBlocked(LiveEndpoint endpoint);

    /** Releases the slot after a dispatch with the given outcome. */
    void release(SlotKey key, AnswerOutcome outcome);
}
