package org.cowslippick.core.world;

/** How often a request of a service may be sent to endpoints. */
public enum DispatchRule {
    /** Running it again changes nothing, so it may be retried and hedged. */
    IDEMPOTENT(false, true, true),
    /** It must not run twice; it may be sent again only where the endpoint proved that it did not start. */
    RUN_ONCE(true, true, false),
    /** It is sent to one endpoint once, whatever the endpoint answers. */
    DISPATCH_ONCE(true, false, false);

    private final boolean requiresClaim;
    private final boolean allowsRetryAfterRefusal;
    private final boolean allowsRetryAfterStart;

    DispatchRule(boolean requiresClaim, boolean allowsRetryAfterRefusal, boolean allowsRetryAfterStart) {
        this.requiresClaim = requiresClaim;
        this.allowsRetryAfterRefusal = allowsRetryAfterRefusal;
        this.allowsRetryAfterStart = allowsRetryAfterStart;
    }

    /** Whether the identity of the request must be claimed before it is dispatched. */
    public boolean requiresClaim() {
        return requiresClaim;
    }

    /** Whether it may be dispatched again after an endpoint refused it before starting it. */
    public boolean allowsRetryAfterRefusal() {
        return allowsRetryAfterRefusal;
    }

    /** Whether it may be dispatched again, or to two endpoints at once, although it may have started. */
    public boolean allowsRetryAfterStart() {
        return allowsRetryAfterStart;
    }
}
