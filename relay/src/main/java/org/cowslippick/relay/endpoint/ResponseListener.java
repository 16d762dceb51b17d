package org.cowslippick.relay.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Hears the answer to one dispatch. After {@link #completed} or {@link #failed} nothing more is heard. */
public interface ResponseListener {

    /** The request was handed to the connection; from now on it may run. */
    void requestSent();

    /** Nothing was sent, as no connection could be opened. */
    void connectFailed(String cause);

    /** Status and headers arrived. */
    void headReceived(HttpResponse head);

    /** A part of the body arrived; it is valid during the call only. */
    void bodyReceived(ByteBuf bytes);

    /** The answer is whole. */
    void completed();

    /** The connection ended before the answer, or what came is no answer. */
    void failed(String cause);
}
