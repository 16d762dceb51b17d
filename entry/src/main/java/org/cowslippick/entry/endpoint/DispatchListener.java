package org.cowslippick.entry.endpoint;

import org.cowslippick.core.error.Failure;

/** Receives the progress of one dispatch. Exactly one of the terminal methods is called, and it is the last call. */
public interface DispatchListener {

    /** A token arrived; offsets count from 0 without gaps. */
    void tokenReceived(int offset, String text);

    /** Terminal: the answer is complete; {@code body} is that of an application call, and empty for a model call. */
    void completed(String body);

    /** Terminal: no connection could be made, so nothing was sent. */
    void notSent(String detail);

    /** Terminal: the endpoint refused the request and confirmed that it did not start it. */
    void refused(String detail);

    /** Terminal: the endpoint failed after the request was sent, so the request may have run. */
    void failed(DispatchFault fault, Failure failure);
}
