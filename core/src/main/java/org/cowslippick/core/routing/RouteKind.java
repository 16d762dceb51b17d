package org.cowslippick.core.routing;

/** What a route's requests do, and so whether they may be sent again once they may have run. */
public enum RouteKind {
    /** Idempotent calls: they may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean allowsRetryAfterStart(boolean _resumable) {
            return true;
        }
    },
    /** Calls with an effect: they run at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean allowsRetryAfterStart(boolean _resumable) {
            return false;
        }
    },
    /** Calls answered by a series of events; only those that can continue from an event may be sent again. */
    EVENT_STREAM {
        @Override
        public boolean allowsRetryAfterStart(boolean resumable) {
            return resumable;
        }
    };

    /** Whether a request that may have run may be sent to another endpoint. */
    public abstract boolean allowsRetryAfterStart(boolean resumable);
}
