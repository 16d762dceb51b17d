package org.cowslippick.core.routing;

/** The kind of a route's requests, which decides whether they may be retried after they may have run. */
public enum RouteKind {
    /** Idempotent calls, which may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean allowsRetryAfterStart(boolean _resumable) {
            return true;
        }
    },
    /** Calls with side effects, which must run at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean allowsRetryAfterStart(boolean _resumable) {
            return false;
        }
    },
    /** Calls answered by an event stream, which may be retried only if the stream can resume after an event. */
    EVENT_STREAM {
        @Override
        public boolean allowsRetryAfterStart(boolean resumable) {
            return resumable;
        }
    };

    /** Whether a request that may have run may be sent to another endpoint. */
    public abstract boolean allowsRetryAfterStart(boolean resumable);
}
