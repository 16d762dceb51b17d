package org.cowslippick.scheduler.pool;

import org.cowslippick.scheduler.endpoint.EndpointTracker;

/** A dispatch of a request that has not ended. */
final class Attempt {

    private final TrackedRequest request;
    private final EndpointTracker tracker;
    private final long dispatchedAtNanos;
    private final long promptTokens;
    private final long promptTokensToFirstToken;
    private final long expectedFirstTokenNanos;
    private boolean hasFirstToken;
    private boolean isSuspect;

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

    /** The prompt tokens that the endpoint has to process for this request. */
    long promptTokens() {
        return promptTokens;
    }

    /** The prompt tokens to process before the first token of this request, including pending prompts. */
    long promptTokensToFirstToken() {
        return promptTokensToFirstToken;
    }

    /** The predicted time to first token without slowdown; 0 without samples. */
    long expectedFirstTokenNanos() {
        return expectedFirstTokenNanos;
    }

    boolean hasFirstToken() {
        return hasFirstToken;
    }

    void markFirstToken() {
        hasFirstToken = true;
    }

    /** Whether an earlier crash was attributed to its content at dispatch. */
    boolean isSuspect() {
        return isSuspect;
    }

    void markSuspect() {
        isSuspect = true;
    }
}
