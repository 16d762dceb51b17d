package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.InFlightAttempt;

/** A request of this entry: what was granted of it and is in flight. Used by the thread of its pool only. */
final class TrackedRequest {

    private final RequestDescriptor descriptor;
    private final GrantListener listener;
    private final Map<EndpointName, InFlightAttempt> inFlight = new HashMap<>();
    private GrantNumber lastUsed = GrantNumber.NONE;
    private int attempts;

    TrackedRequest(RequestDescriptor descriptor, GrantListener listener) {
        this.descriptor = descriptor;
        this.listener = listener;
    }

    RequestDescriptor descriptor() {
        return descriptor;
    }

    GrantListener listener() {
        return listener;
    }

    GrantNumber lastUsed() {
        return lastUsed;
    }

    boolean waiting() {
        return inFlight.isEmpty();
    }

    ImmutableList<InFlightAttempt> inFlight() {
        return ImmutableList.copyOf(inFlight.values());
    }

    /** Whether a grant is no repetition of one that was used or refused before. */
    boolean fresh(Grant grant, long epoch) {
        return new GrantNumber(epoch, grant.attempt()).compareTo(lastUsed) > 0;
    }

    /** Whether the request can use the grant: it waits for one, or this is a second attempt elsewhere. */
    boolean usable(Grant grant) {
        return waiting() || (grant.reason() == Grant.Reason.HEDGE && !runsOn(grant.endpoint()));
    }

    boolean runsOn(EndpointName endpoint) {
        return inFlight.containsKey(endpoint);
    }

    /** Uses a grant and returns it with the attempt counted as this entry does, whoever the owners were. */
    Grant use(Grant grant, long epoch, long nowNanos) {
        lastUsed = new GrantNumber(epoch, grant.attempt());
        attempts++;
        inFlight.put(grant.endpoint(), new InFlightAttempt(descriptor, grant.endpoint(), attempts, nowNanos));
        return new Grant(grant.request(), grant.entry(), grant.endpoint(), attempts, grant.reason());
    }

    void ended(EndpointName endpoint) {
        inFlight.remove(endpoint);
    }
}
