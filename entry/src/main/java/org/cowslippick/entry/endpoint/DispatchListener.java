package org.cowslippick.entry.endpoint;

import org.cowslippick.core.error.Failure;

/** Hears what becomes of one dispatch; exactly one of the ending calls comes, as the last. */
public interface DispatchListener {

    /** A token arrived; offsets count from 0 without gaps. */
    void token(int offset, String text);

    /** Ends: the whole answer arrived; {@code body} is that of an application call, and empty for a model call. */
    void finished(String body);

    /** Ends: no connection could be made, so nothing was sent. */
    void notSent(String detail);

    /** Ends: the endpoint refused the request and proved that it did not start it. */
    void refused(String detail);

    /** Ends: the endpoint failed after the request was sent, so that it may have run. */
    void failed(DispatchFault fault, Failure failure);
}
