package org.cowslippick.scheduler.pool;

import org.cowslippick.scheduler.endpoint.EndpointTracker;

/** One dispatch of a request that has not ended yet. */
final class Attempt {

    private final TrackedRequest request;
    private final EndpointTracker tracker;
    private final long dispatchedAtNanos;
    private final long promptTokens;
    private final long promptTokensToFirstToken;
    private final long expectedFirstTokenNanos;
    private boolean firstTokenSeen;
    private boolean suspect;

    Attempt(TrackedRequest request, EndpointTracker tracker, long dispatchedAtNanos, long promptTokens) {
        this.request = request;
        this.tracker = tracker;
        this.dispatchedAtNanos = dispatchedAtNanos;
        this.promptTokens = promptTokens;
        this.promptTokensToFirstToken = tracker.pendingPromptTokens() + promptTokens;
        this.expectedFirstTokenNanos = (long) tracker.expectedFirstTokenNanos((double) promptTokens);
    }

    TrackedRequest request() {
        return request;
    }

    EndpointTracker tracker() {
        return tracker;
    }

    long dispatchedAtNanos() {
        return dispatchedAtNanos;
    }

    /** Prompt tokens that the endpoint has to compute for this request. */
    long promptTokens() {
        return promptTokens;
    }

    /** Prompt tokens that the endpoint has to compute up to this request's first token. */
    long promptTokensToFirstToken() {
        return promptTokensToFirstToken;
    }

    /** The time from dispatch to the first token on an endpoint at its usual speed; 0 if nothing was known. */
    long expectedFirstTokenNanos() {
        return expectedFirstTokenNanos;
    }

    boolean firstTokenSeen() {
        return firstTokenSeen;
    }

    void markFirstToken() {
        firstTokenSeen = true;
    }

    /** Whether a crash was attributed to its content before it was dispatched. */
    boolean suspect() {
        return suspect;
    }

    void markSuspect() {
        suspect = true;
    }
}
