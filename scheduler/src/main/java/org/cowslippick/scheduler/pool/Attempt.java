package org.cowslippick.scheduler.pool;

import org.cowslippick.scheduler.endpoint.EndpointTracker;

/** One dispatch of a request that has not ended yet. */
final class Attempt {

    private final TrackedRequest request;
    private final EndpointTracker tracker;
    private final long dispatchedAtNanos;
    private final long promptTokens;
    private final long promptTokensAhead;
    private boolean firstTokenSeen;

    Attempt(TrackedRequest request, EndpointTracker tracker, long dispatchedAtNanos, long promptTokens) {
        this.request = request;
        this.tracker = tracker;
        this.dispatchedAtNanos = dispatchedAtNanos;
        this.promptTokens = promptTokens;
        this.promptTokensAhead = tracker.pendingPromptTokens();
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

    /** Prompt tokens that the endpoint had to compute for this request. */
    long promptTokens() {
        return promptTokens;
    }

    /** Prompt tokens that the endpoint had to compute up to this request's first token. */
    long promptTokensToFirstToken() {
        return promptTokensAhead + promptTokens;
    }

    boolean firstTokenSeen() {
        return firstTokenSeen;
    }

    void markFirstToken() {
        firstTokenSeen = true;
    }
}
