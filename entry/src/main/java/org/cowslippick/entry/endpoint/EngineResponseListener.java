package org.cowslippick.entry.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Receives one response as it arrives: the head, parts of the body, and one of the two ends. */
interface EngineResponseListener {

    void headReceived(int status, HttpHeaders headers);

    /** A part of the body arrived; the buffer is released after the call. */
    void contentReceived(ByteBuf content);

    /** Terminal: the response is whole. */
    void ended();

    /** Terminal: no connection was made, or the response did not arrive whole. */
    void failed(Throwable cause);
}
