package org.cowslippick.entry.endpoint;

/** A handle on a request that was sent to an endpoint. */
public interface Dispatch {

    /** Cancels the request at the endpoint. The listener is not called again. */
    void cancel();
}
