package org.cowslippick.core.world;

/** When a request of a service may be dispatched more than once. */
public enum DispatchRule {
    /** Requests have no effect when repeated, so they may be retried and hedged. */
    IDEMPOTENT(false, true, true),
    /** Requests must run at most once: retried only if the endpoint proves that execution did not start. */
    RUN_ONCE(true, true, false),
    /** Requests are sent to one endpoint once and never retried, even after a refusal. */
    DISPATCH_ONCE(true, false, false);

    private final boolean requiresClaim;
    private final boolean allowsRetryAfterRefusal;
    private final boolean allowsRetryAfterStart;

    DispatchRule(boolean requiresClaim, boolean allowsRetryAfterRefusal, boolean allowsRetryAfterStart) {
        this.requiresClaim = requiresClaim;
        this.allowsRetryAfterRefusal = allowsRetryAfterRefusal;
        this.allowsRetryAfterStart = allowsRetryAfterStart;
    }

    /** Whether the identity of a request must be claimed before dispatch. */
    public boolean requiresClaim() {
        return requiresClaim;
    }

    /** Whether a request may be retried after an endpoint refused it before starting it. */
    public boolean allowsRetryAfterRefusal() {
        return allowsRetryAfterRefusal;
    }

    /** Whether a request that may have started may be retried or hedged. */
    public boolean allowsRetryAfterStart() {
        return allowsRetryAfterStart;
    }
}
