package org.cowslippick.entry.endpoint;

/** A request that was sent to an endpoint. */
public interface Dispatch {

    /** Cancels it at the endpoint; the listener hears nothing more. */
    void cancel();
}
