package org.cowslippick.relay.caller;

/** Receives events of the caller's connection while a request is in progress. */
public interface CallerListener {

    void disconnected();

    /** Called when the outbound buffer of the connection fills up or drains, for backpressure. */
    void writabilityChanged(boolean writable);

    /** Ends the request if it would only now be sent to an endpoint. */
    void refuseIfWaiting();

    /** Ends the request with whatever response is still possible, as the process is about to exit. */
    void terminate();
}
