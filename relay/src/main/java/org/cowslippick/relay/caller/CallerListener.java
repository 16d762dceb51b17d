package org.cowslippick.relay.caller;

/** Hears what the caller of a request does while it waits for the answer. */
public interface CallerListener {

    /** The caller closed its connection. */
    void disconnected();

    /** The caller's connection can take more bytes, or cannot. */
    void writabilityChanged(boolean writable);
}
