package org.cowslippick.core.world;

/** How often a request of a service may be sent to endpoints. */
public enum DispatchRule {
    /** Running it again changes nothing, so it may be retried and hedged. */
    IDEMPOTENT(false, true, true),
    /** It must not run twice; it may be sent again only where the endpoint proved that it did not start. */
    RUN_ONCE(true, true, false),
    /** It is sent to one endpoint once, whatever the endpoint answers. */
    DISPATCH_ONCE(true, false, false);

    private final boolean claimNeeded;
    private final boolean retryAfterRefusal;
    private final boolean retryAfterStart;

    DispatchRule(boolean claimNeeded, boolean retryAfterRefusal, boolean retryAfterStart) {
        this.claimNeeded = claimNeeded;
        this.retryAfterRefusal = retryAfterRefusal;
        this.retryAfterStart = retryAfterStart;
    }

    /** Whether the identity of the request must be claimed before it is dispatched. */
    public boolean claimNeeded() {
        return claimNeeded;
    }

    /** Whether it may be dispatched again after an endpoint refused it before starting it. */
    public boolean retryAfterRefusal() {
        return retryAfterRefusal;
    }

    /** Whether it may be dispatched again, or to two endpoints at once, although it may have started. */
    public boolean retryAfterStart() {
        return retryAfterStart;
    }
}
