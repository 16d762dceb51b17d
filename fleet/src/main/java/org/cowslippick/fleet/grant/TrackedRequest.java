package org.cowslippick.fleet.grant;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import org.cowslippick.core.request.RequestDescriptor;
import org.cowslippick.core.world.EndpointName;
import org.cowslippick.scheduler.pool.Grant;
import org.cowslippick.scheduler.pool.InFlightAttempt;

/** A request of this entry with its attempts in flight. Confined to the executor of its pool. */
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

    /** Whether no attempt is in flight. */
    boolean isWaiting() {
        return inFlight.isEmpty();
    }

    ImmutableList<InFlightAttempt> inFlight() {
        return ImmutableList.copyOf(inFlight.values());
    }

    /** Whether the grant is newer than the last one used, so not a repetition. */
    boolean isNewGrant(Grant grant, long epoch) {
        return new GrantNumber(epoch, grant.attempt()).compareTo(lastUsed) > 0;
    }

    /** Whether the request waits, or the grant is for a hedged attempt at another endpoint. */
    boolean canUse(Grant grant) {
        return isWaiting() || (grant.reason() == Grant.Reason.HEDGE && !isInFlightOn(grant.endpoint()));
    }

    boolean isInFlightOn(EndpointName endpoint) {
        return inFlight.containsKey(endpoint);
    }

    /** Records the attempt; returns the grant with this entry's attempt number, which a new owner does not reset. */
    Grant use(Grant grant, long epoch, long nowNanos) {
        lastUsed = new GrantNumber(epoch, grant.attempt());
        attempts++;
        inFlight.put(grant.endpoint(), new InFlightAttempt(descriptor, grant.endpoint(), attempts, nowNanos));
        return new Grant(grant.request(), grant.entry(), grant.endpoint(), attempts, grant.reason());
    }

    void removeAttempt(EndpointName endpoint) {
        inFlight.remove(endpoint);
    }
}
